"""Execution of command actions and reporting of their errors."""

import os
import sys
import time
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Final, TextIO, TypeAlias, final

import anyio
import httpx
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_object_api.client import ObjectApiClient
from cornelbeam_object_api.kinds import SpecError
from cornelbeam_settings import SettingsError

from cornelbeam_operator.admin import AdminClient
from cornelbeam_operator.context import Context
from cornelbeam_operator.exit_codes import ExitCode, exit_code_of
from cornelbeam_operator.output import Output, is_colour_wanted
from cornelbeam_operator.store import ObjectStore, make_write_id
from cornelbeam_operator.writing import Sleep

#: Environment variable with the URL of the Object API.
URL_VARIABLE: Final = 'CORNELBEAM_OBJECT_API'
_DEFAULT_URL: Final = 'http://127.0.0.1:8500'

StoreFactory: TypeAlias = Callable[
    [str, int],
    AbstractAsyncContextManager[ObjectStore],
]
_Action: TypeAlias = Callable[[Context], Awaitable[ExitCode]]


@final
@dataclass(frozen=True, slots=True)
class Environment:
    """External dependencies of commands, replaceable in tests.

    ``now`` and ``sleep`` use seconds.
    """

    open_store: StoreFactory = ObjectApiClient
    transport: httpx.AsyncBaseTransport | None = None
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)
    make_write_id: Callable[[], str] = make_write_id
    now: Callable[[], float] = time.monotonic
    sleep: Sleep = anyio.sleep


@final
class Session:
    """Runs actions with the connections and the output they need."""

    __slots__ = ('_environment',)

    def __init__(self, environment: Environment) -> None:
        """Initialize with the external dependencies of the actions."""
        self._environment = environment

    def run(
        self,
        action: _Action,
        is_json: bool,
        object_api: str,
        timeout_ms: int,
    ) -> ExitCode:
        """Run an action, report its errors and return the exit code."""
        environment = self._environment
        output = Output(
            environment.stdout,
            environment.stderr,
            is_json=is_json,
            is_coloured=is_colour_wanted(
                environment.stdout,
                environment.variables,
            ),
        )
        default_url = environment.variables.get(URL_VARIABLE, _DEFAULT_URL)
        url = object_api or default_url
        exit_code = anyio.run(
            self._run_guarded, action, output, url, timeout_ms
        )
        output.finish(exit_code)
        return exit_code

    async def _run_guarded(
        self,
        action: _Action,
        output: Output,
        url: str,
        timeout_ms: int,
    ) -> ExitCode:
        """Run an action and report the errors it raises."""
        try:
            return await self._run_connected(action, output, url, timeout_ms)
        except SettingsError as invalid:
            for problem in invalid.problems:
                output.fail(str(problem))
            return ExitCode.INVALID
        except SpecError as invalid_spec:
            output.fail(str(invalid_spec))
            return ExitCode.INVALID
        except CornelbeamError as error:
            output.fail(str(error))
            return exit_code_of(error)

    async def _run_connected(
        self,
        action: _Action,
        output: Output,
        url: str,
        timeout_ms: int,
    ) -> ExitCode:
        environment = self._environment
        admin = AdminClient(timeout_ms, environment.transport)
        try:
            async with environment.open_store(url, timeout_ms) as store:
                return await action(
                    Context(
                        store,
                        admin,
                        output,
                        environment.make_write_id,
                        environment.now,
                        environment.sleep,
                    ),
                )
        finally:
            await admin.aclose()
