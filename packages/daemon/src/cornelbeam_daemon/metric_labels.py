"""Labels of metrics, with a bounded set of values each.

Service names reach the daemon in Host headers, so a caller could otherwise
create any number of time series: services beyond a fixed number are counted
under ``other``, as are codes that are not in the fixed set.
"""

from typing import Final, Generic, Protocol, TypeVar, final

from cornelbeam_core.errors import ErrorCode
from prometheus_client.metrics import MetricWrapperBase

OK_CODE: Final = 'ok'
SERVER_ERROR_CODE: Final = 'answer_5xx'
OTHER: Final = 'other'
IDEMPOTENT: Final = 'idempotent'
NON_IDEMPOTENT: Final = 'non-idempotent'

_CODES: Final = frozenset(
    (OK_CODE, SERVER_ERROR_CODE, *(code.value for code in ErrorCode)),
)
# Refusals of requests whose service may not exist. Their names must not use
# up the bound, which would hide the services that are really called.
_UNROUTED_CODES: Final = frozenset(
    (
        ErrorCode.MALFORMED_REQUEST.value,
        ErrorCode.HEAD_TOO_LARGE.value,
        ErrorCode.BODY_TOO_LARGE.value,
        ErrorCode.UNKNOWN_SERVICE.value,
        ErrorCode.TOO_MANY_HOPS.value,
    ),
)
_Metric = TypeVar('_Metric', bound=MetricWrapperBase)
_Key = tuple[str | bool, ...]
_Labels = tuple[str, ...]


class Fold(Protocol):
    """Turns a key into label values that are bounded."""

    def __call__(self, key: _Key) -> tuple[_Labels, bool]:
        """Give the label values, and whether the key is within the bound."""


@final
class Children(dict[_Key, _Metric], Generic[_Metric]):
    """Label children by key, each resolved once and then kept.

    A key beyond the bound is not kept, so that this dictionary is bounded
    too.
    """

    def __init__(self, metric: _Metric, fold: Fold) -> None:
        """Start without children."""
        super().__init__()
        self._metric = metric
        self._fold = fold

    def __missing__(self, key: _Key) -> _Metric:
        """Resolve the child of a key that is not kept yet."""
        labels, is_within_bound = self._fold(key)
        child = self._metric.labels(*labels)
        if is_within_bound:
            self[key] = child
        return child


@final
class NamedFold:
    """Bounds the last label, whose values are names."""

    __slots__ = ('_max_count', '_names')

    def __init__(self, max_count: int) -> None:
        """Accept the first ``max_count`` names, and ``other``."""
        self._max_count = max_count + 1
        self._names: set[str | bool] = {OTHER}

    def __call__(self, key: _Key) -> tuple[_Labels, bool]:
        """Replace a name beyond the bound."""
        *first, name = key
        is_accepted = self.is_accepted(name)
        last = name if is_accepted else OTHER
        return (*map(str, first), str(last)), is_accepted

    def is_known(self, name: str | bool) -> bool:
        """Tell whether the name is a label value already."""
        return name in self._names

    def is_accepted(self, name: str | bool) -> bool:
        """Tell whether the name may be a label value."""
        if name in self._names:
            return True
        if len(self._names) >= self._max_count:
            return False
        self._names.add(name)
        return True


@final
class CallFold:
    """Bounds the labels of calls: service, kind and code."""

    __slots__ = ('_services',)

    def __init__(self, max_service_count: int) -> None:
        """Accept the first ``max_service_count`` services."""
        self._services = NamedFold(max_service_count)

    def __call__(self, key: _Key) -> tuple[_Labels, bool]:
        """Replace a service beyond the bound and an unknown code."""
        service, is_idempotent, code = key
        is_doubtful = code in _UNROUTED_CODES
        if is_doubtful and not self._services.is_known(service):
            (name,), is_accepted = (OTHER,), False
        else:
            (name,), is_accepted = self._services((service,))
        (known_code,), is_known = fold_code((code,))
        kind = IDEMPOTENT if is_idempotent else NON_IDEMPOTENT
        return (name, kind, known_code), is_accepted and is_known


def fold_code(key: _Key) -> tuple[_Labels, bool]:
    """Replace an unknown code, the last label."""
    *first, code = map(str, key)
    is_known = code in _CODES
    return (*first, code if is_known else OTHER), is_known
