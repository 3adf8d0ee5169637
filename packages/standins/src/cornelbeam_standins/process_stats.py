"""Resource usage of processes as the operating system reports it."""

import os
import re
import shutil
import subprocess
from collections.abc import Collection
from pathlib import Path
from typing import Final

# Process ID, local address and peer address.
SocketKey = tuple[int, str, str]

_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
# Fields of /proc/PID/stat (see proc(5)), counted after the command in
# parentheses.
_USER_TICKS_FIELD: Final = 11
_SYSTEM_TICKS_FIELD: Final = 12
_SOCKET_PID: Final = re.compile(r'pid=(\d+)')
_SOCKET_SENT: Final = re.compile(r'bytes_sent:(\d+)')


def read_cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    line = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = line.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _TICKS_PER_S


def read_rss_kb(pid: int) -> int:
    """Return the resident memory of a process in KiB."""
    status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    return 0


def read_tcp_sent_bytes(
    pids: Collection[int],
    ports: Collection[str],
) -> dict[SocketKey, int]:
    """Return the payload bytes that open TCP sockets of processes have sent.

    Only sockets with one end at one of the ports are included. The result is
    empty if the program ``ss`` is missing. The count of a socket is lost once
    it is closed, so sums are a lower bound while connections open and close.
    """
    program = shutil.which('ss')
    if program is None:
        return {}
    listed = subprocess.run(  # noqa: S603 fixed arguments
        [program, '-tinpOH'],
        capture_output=True,
        text=True,
        check=True,
    )
    sent_bytes_by_socket: dict[SocketKey, int] = {}
    for line in listed.stdout.splitlines():
        owner = _SOCKET_PID.search(line)
        size = _SOCKET_SENT.search(line)
        if owner is None or size is None or int(owner[1]) not in pids:
            continue
        local_address, peer_address = line.split()[3:5]
        if {
            local_address.rpartition(':')[2],
            peer_address.rpartition(':')[2],
        } & set(ports):
            sent_bytes_by_socket[int(owner[1]), local_address, peer_address] = (
                int(size[1])
            )
    return sent_bytes_by_socket
