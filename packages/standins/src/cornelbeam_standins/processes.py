"""Managed processes of tests and measurements."""

import select
import signal
import subprocess
import sys
import tempfile
from types import TracebackType
from typing import IO, Final, Self, final

# A busy machine can take long to start an interpreter.
_START_TIMEOUT_S: Final = 60
_STOP_TIMEOUT_S: Final = 60
_LISTENING_PREFIX: Final = 'listening '


@final
class ProcessError(Exception):
    """A process failed to start or stop; the message includes its errors."""


@final
class ManagedProcess:
    """One process, which the context manager kills on exit.

    Its standard error goes to a temporary file; see ``read_errors``.
    """

    def __init__(self, name: str, arguments: list[str]) -> None:
        """Start the process; ``name`` is used only in messages."""
        self.name = name
        self.address = ''
        # In append mode because the process shares the file position.
        self._errors: IO[bytes] = tempfile.TemporaryFile('a+b')
        self._process = subprocess.Popen(  # noqa: S603 own program
            arguments,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            # Unbuffered, so that select sees each line that is not yet read.
            bufsize=0,
            stderr=self._errors,
        )

    def __enter__(self) -> Self:
        """Return the process itself."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill the process if it is still running."""
        self.close()

    @property
    def pid(self) -> int:
        """Process ID."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self._process.poll() is None

    def wait_listening(self, *, is_main: bool = True) -> str:
        """Wait for a line ``listening HOST:PORT`` and return the address.

        If ``is_main``, also store it as ``address``. Raise ``ProcessError`` on
        any other line and if there is none within 60 s.
        """
        line = self.read_line()
        if not line.startswith(_LISTENING_PREFIX):
            raise ProcessError(self._describe(f'printed {line!r}'))
        address = line.removeprefix(_LISTENING_PREFIX).strip()
        if is_main:
            self.address = address
        return address

    def read_line(self) -> str:
        """Read the next line of standard output.

        Return an empty string at the end of the output. Raise ``ProcessError``
        if nothing arrives within 60 s.
        """
        output = self._process.stdout
        if output is None:
            raise ProcessError(self._describe('has no standard output'))
        ready, _, _ = select.select([output], [], [], _START_TIMEOUT_S)
        if not ready:
            raise ProcessError(self._describe('printed nothing'))
        return output.readline().decode()

    def read_output(self) -> str:
        """Read standard output until the process exits by itself."""
        output = self._process.stdout
        return '' if output is None else output.read().decode()

    def pause(self) -> None:
        """Send SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self._process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Send SIGKILL and wait for the process to exit."""
        self._process.kill()
        self.wait()

    def request_stop(self) -> None:
        """Send SIGTERM and return at once."""
        self._process.terminate()

    def wait(self) -> int:
        """Wait for the process to exit and return its status.

        Raise ``ProcessError`` after 60 s.
        """
        try:
            return self._process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            raise ProcessError(self._describe('did not exit')) from error

    def read_errors(self) -> str:
        """Return what the process has written to standard error so far."""
        self._errors.seek(0)
        return self._errors.read().decode(errors='replace')

    def close(self) -> None:
        """Kill the process if it is still running and close its files."""
        if self.is_running:
            self.kill()
        if self._process.stdout is not None:
            self._process.stdout.close()
        self._errors.close()

    def _describe(self, event: str) -> str:
        return f'{self.name} {event}; standard error: {self.read_errors()}'


def start_module(name: str, module: str, *arguments: str) -> ManagedProcess:
    """Start the ``main`` function of a module with this interpreter."""
    code = f'import sys; from {module} import main; sys.exit(main())'
    return ManagedProcess(name, [sys.executable, '-c', code, *arguments])


def spawn_standin(*arguments: str) -> ManagedProcess:
    """Start a stand-in without waiting until it listens."""
    return start_module(
        arguments[0],
        'cornelbeam_standins.cli',
        *arguments,
    )


def start_standin(*arguments: str) -> ManagedProcess:
    """Start a stand-in and wait until it listens."""
    process = spawn_standin(*arguments)
    try:
        process.wait_listening()
    except ProcessError:
        process.close()
        raise
    return process
