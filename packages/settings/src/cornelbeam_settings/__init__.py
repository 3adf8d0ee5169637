"""Typed and validated settings of the cornelbeam daemon."""

from cornelbeam_settings.documentation import (
    KeyDocument,
    describe_keys,
    documentation_table,
)
from cornelbeam_settings.jsonc_document import (
    Document,
    DocumentError,
    KeyPath,
    parse_document,
)
from cornelbeam_settings.loading import load_settings, parse_settings
from cornelbeam_settings.model import (
    BackendServerSettings,
    DaemonSettings,
    FleetSettings,
    InstanceSettings,
    LimitsSettings,
    ListenerSettings,
    LogSettings,
    ObjectApiSettings,
    PolicySettings,
)
from cornelbeam_settings.problems import (
    Problem,
    SettingsError,
    unknown_key_message,
)

__all__ = (
    'BackendServerSettings',
    'DaemonSettings',
    'Document',
    'DocumentError',
    'FleetSettings',
    'InstanceSettings',
    'KeyDocument',
    'KeyPath',
    'LimitsSettings',
    'ListenerSettings',
    'LogSettings',
    'ObjectApiSettings',
    'PolicySettings',
    'Problem',
    'SettingsError',
    'describe_keys',
    'documentation_table',
    'load_settings',
    'parse_document',
    'parse_settings',
    'unknown_key_message',
)
