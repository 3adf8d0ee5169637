"""Short constructors for the descriptions of settings keys."""

from typing import Final

from msgspec import Meta

_NAME: Final = r'^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?\Z'
# A service is a label of a Host header (RFC 1123, section 2.1).
_SERVICE: Final = r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z'


def text(
    description: str,
    min_length: int | None = None,
) -> Meta:
    """Describe a text, a switch or a map of texts."""
    return Meta(description=description, min_length=min_length)


def url(description: str) -> Meta:
    """Describe a URL of HTTP."""
    return Meta(
        description=description,
        pattern=r'^https?://[^\s]+\Z',
        extra={'range': 'http:// or https:// URL'},
    )


def name(description: str) -> Meta:
    """Describe a name: letters, digits, dots, dashes, at most 63."""
    return Meta(
        description=description,
        pattern=_NAME,
        extra={'range': '1 to 63 letters, digits, ".", "_", "-"'},
    )


def service_name(description: str) -> Meta:
    """Describe the name of a service, a label of a Host header."""
    return Meta(
        description=description,
        pattern=_SERVICE,
        extra={'range': '1 to 63 lower case letters, digits, "-"'},
    )


def service_list(description: str) -> Meta:
    """Describe a list of service names."""
    return Meta(
        description=description,
        extra={'range': 'names of services', 'check': 'service'},
    )


def ip_host(description: str) -> Meta:
    """Describe an IP number; the system resolves no names."""
    return Meta(
        description=description,
        extra={'range': 'IP number', 'check': 'ip'},
    )


def address_list(description: str) -> Meta:
    """Describe a list of ``ip:port``."""
    return Meta(
        description=description,
        extra={'range': 'ip:port', 'check': 'address'},
    )


def optional_address(description: str) -> Meta:
    """Describe an ``ip:port`` that may be empty."""
    return Meta(
        description=description,
        pattern=r'^([0-9A-Fa-f.:\[\]]+:[0-9]{1,5})?\Z',
        extra={'range': 'ip:port or empty'},
    )


def path_text(description: str) -> Meta:
    """Describe the path of a URL."""
    return Meta(
        description=description,
        pattern=r'^/[^\s?#]*\Z',
        extra={'range': 'begins with "/"'},
    )


def number(description: str, low: int, high: int) -> Meta:
    """Describe an integer without a unit."""
    return Meta(description=description, ge=low, le=high)


def size(description: str, unit: str, low: float, high: float) -> Meta:
    """Describe an amount in a unit, both bounds included."""
    return Meta(description=description, ge=low, le=high, extra={'unit': unit})
