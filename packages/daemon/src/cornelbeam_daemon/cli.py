"""Command line entry point of the daemon."""

import asyncio
import gc
import signal
import sys

import anyio
import defopt
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_settings import (
    DaemonSettings,
    SettingsError,
    load_settings,
)

from cornelbeam_daemon.daemon import Daemon, read_secret
from cornelbeam_daemon.logs import set_up_logs

EXIT_OK = 0
EXIT_UNUSABLE = 2
# Thresholds of the three generations: net allocations between collections of
# the youngest, then collections of one generation per collection of the next.
GC_THRESHOLDS = (10_000, 20, 50)


def run_daemon(*, settings: str) -> int:
    """Serve beside one backend server until SIGTERM or SIGINT.

    Exit codes: 0 after a planned stop, 2 when the settings are wrong or an
    address cannot be bound.

    Example: cornelbeam-daemon --settings /etc/cornelbeam/daemon.jsonc

    :param settings: file with the settings, JSON with comments
    """
    try:
        loaded = load_settings(settings)
        secret = read_secret(loaded.fleet.secret_file)
    except (CornelbeamError, SettingsError, OSError) as error:
        sys.stderr.write(f'cornelbeam-daemon: {error}\n')
        return EXIT_UNUSABLE
    set_up_logs(loaded.log.level, loaded.log.is_json)
    return anyio.run(_serve, loaded, secret)


async def _serve(settings: DaemonSettings, secret: bytes) -> int:
    try:
        daemon = Daemon(settings, secret)
    except OSError as error:
        sys.stderr.write(f'cornelbeam-daemon: {error}\n')
        return EXIT_UNUSABLE
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop)
    addresses = ' '.join(
        f'{name}={daemon.address(name)}' for name in daemon.sockets
    )
    _tune_garbage_collection()
    sys.stdout.write(f'listening {addresses}\n')
    sys.stdout.flush()
    await daemon.run()
    return EXIT_OK


def _tune_garbage_collection() -> None:
    # A full collection of the imported objects takes about 20 ms and shows in
    # the tail latency, so they are frozen. The data path creates few reference
    # cycles, so collections can be infrequent.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def main() -> None:
    """Run the ``cornelbeam-daemon`` command."""
    sys.exit(defopt.run(run_daemon, no_negated_flags=True))


if __name__ == '__main__':
    main()
