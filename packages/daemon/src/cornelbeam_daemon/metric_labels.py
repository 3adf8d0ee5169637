"""Metric labels with bounded sets of values.

Service names come from Host headers, so unbounded labels would let a caller
create any number of time series. Services beyond a fixed number are counted
as ``other``, and so are codes outside the fixed set.
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
# Codes of refused requests whose service may not exist. Their service names
# must not use up the bound, which would hide the services that do exist.
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


class LabelMapper(Protocol):
    """Maps a key to label values from bounded sets."""

    def __call__(self, key: _Key) -> tuple[_Labels, bool]:
        """Return the label values and whether the key is within the bound."""


@final
class BoundedChildren(dict[_Key, _Metric], Generic[_Metric]):
    """Cache of a metric's labelled children by key.

    A key beyond the bound is not cached, so the cache is bounded too.
    """

    def __init__(self, metric: _Metric, map_labels: LabelMapper) -> None:
        """Start with an empty cache."""
        super().__init__()
        self._metric = metric
        self._map_labels = map_labels

    def __missing__(self, key: _Key) -> _Metric:
        """Return the child of a key that is not cached yet."""
        labels, is_within_bound = self._map_labels(key)
        child = self._metric.labels(*labels)
        if is_within_bound:
            self[key] = child
        return child


@final
class NameMapper:
    """Bounds the number of values of the last label."""

    __slots__ = ('_max_count', '_names')

    def __init__(self, max_count: int) -> None:
        """Accept the first ``max_count`` names and ``other``."""
        self._max_count = max_count + 1
        self._names: set[str | bool] = {OTHER}

    def __call__(self, key: _Key) -> tuple[_Labels, bool]:
        """Replace a name beyond the bound by ``other``."""
        *first, name = key
        is_accepted = self.is_accepted(name)
        last = name if is_accepted else OTHER
        return (*map(str, first), str(last)), is_accepted

    def is_known(self, name: str | bool) -> bool:
        """Return whether the name is a label value already."""
        return name in self._names

    def is_accepted(self, name: str | bool) -> bool:
        """Return whether the name may be a label value, adding it if so."""
        if name in self._names:
            return True
        if len(self._names) >= self._max_count:
            return False
        self._names.add(name)
        return True


@final
class CallLabelMapper:
    """Bounds the service, kind and code labels of calls."""

    __slots__ = ('_services',)

    def __init__(self, max_service_count: int) -> None:
        """Accept the first ``max_service_count`` services."""
        self._services = NameMapper(max_service_count)

    def __call__(self, key: _Key) -> tuple[_Labels, bool]:
        """Replace a service beyond the bound and an unknown code."""
        service, is_idempotent, code = key
        may_be_invented = code in _UNROUTED_CODES
        if may_be_invented and not self._services.is_known(service):
            (name,), is_accepted = (OTHER,), False
        else:
            (name,), is_accepted = self._services((service,))
        (known_code,), is_known = map_code((code,))
        kind = IDEMPOTENT if is_idempotent else NON_IDEMPOTENT
        return (name, kind, known_code), is_accepted and is_known


def map_code(key: _Key) -> tuple[_Labels, bool]:
    """Replace an unknown code, the last label, by ``other``."""
    *first, code = map(str, key)
    is_known = code in _CODES
    return (*first, code if is_known else OTHER), is_known
