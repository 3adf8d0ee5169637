"""Constructors for the metadata of settings keys."""

from typing import Final

from msgspec import Meta

_NAME: Final = r'^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?\Z'
# A service name is a label of a Host header (RFC 1123, section 2.1).
_SERVICE: Final = r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z'


def text(
    description: str,
    min_length: int | None = None,
) -> Meta:
    """Describe a string, a boolean or a map of strings."""
    return Meta(description=description, min_length=min_length)


def url(description: str) -> Meta:
    """Describe an HTTP or HTTPS URL."""
    return Meta(
        description=description,
        pattern=r'^https?://[^\s]+\Z',
        extra={'range': 'http:// or https:// URL'},
    )


def name(description: str) -> Meta:
    """Describe a name of at most 63 letters, digits, dots, ``_`` and dashes."""
    return Meta(
        description=description,
        pattern=_NAME,
        extra={'range': '1 to 63 letters, digits, ".", "_", "-"'},
    )


def service_name(description: str) -> Meta:
    """Describe a service name, which is a label of a Host header."""
    return Meta(
        description=description,
        pattern=_SERVICE,
        extra={'range': '1 to 63 lower case letters, digits, "-"'},
    )


def service_list(description: str) -> Meta:
    """Describe a list of service names."""
    return Meta(
        description=description,
        extra={'range': 'service names', 'check': 'service'},
    )


def ip_address_text(description: str) -> Meta:
    """Describe an IP address; host names are not resolved."""
    return Meta(
        description=description,
        extra={'range': 'IP address', 'check': 'ip'},
    )


def address_list(description: str) -> Meta:
    """Describe a list of ``ip:port`` addresses."""
    return Meta(
        description=description,
        extra={'range': 'ip:port', 'check': 'address'},
    )


def optional_address(description: str) -> Meta:
    """Describe an ``ip:port`` address that may be empty."""
    return Meta(
        description=description,
        pattern=r'^([0-9A-Fa-f.:\[\]]+:[0-9]{1,5})?\Z',
        extra={'range': 'ip:port or empty'},
    )


def url_path_text(description: str) -> Meta:
    """Describe the path of a URL, without query and fragment."""
    return Meta(
        description=description,
        pattern=r'^/[^\s?#]*\Z',
        extra={'range': 'begins with "/"'},
    )


def integer(description: str, low: int, high: int) -> Meta:
    """Describe an integer without a unit, with inclusive bounds."""
    return Meta(description=description, ge=low, le=high)


def quantity(description: str, unit: str, low: float, high: float) -> Meta:
    """Describe a quantity with a unit and inclusive bounds."""
    return Meta(description=description, ge=low, le=high, extra={'unit': unit})
