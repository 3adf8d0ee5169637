"""Client of the Object API and the kinds of configuration objects."""

from cornelbeam_object_api.client import (
    ObjectApiClient,
    ObjectList,
    StoreConflictError,
    StoredObject,
)
from cornelbeam_object_api.kinds import KINDS, SpecError, parse_spec

__all__ = (
    'KINDS',
    'ObjectApiClient',
    'ObjectList',
    'SpecError',
    'StoreConflictError',
    'StoredObject',
    'parse_spec',
)
