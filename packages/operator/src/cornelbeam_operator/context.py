"""Dependencies of a running command."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from cornelbeam_operator.admin import AdminClient
from cornelbeam_operator.output import Output
from cornelbeam_operator.store import ObjectStore
from cornelbeam_operator.writing import Sleep


@final
@dataclass(frozen=True, slots=True)
class Context:
    """Connections, output and clock of one command.

    ``now`` and ``sleep`` use seconds.
    """

    store: ObjectStore
    admin: AdminClient
    output: Output
    make_write_id: Callable[[], str]
    now: Callable[[], float]
    sleep: Sleep
