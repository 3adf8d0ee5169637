"""Deselects the tests listed in KNOWN-RED.txt and prints the list."""

from pathlib import Path

_KNOWN_RED = Path(__file__).parent / 'KNOWN-RED.txt'


def read_known_red() -> dict[str, str]:
    """Return the entries of the list by test id."""
    if not _KNOWN_RED.exists():
        return {}
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return {entry.partition(' | ')[0]: entry for entry in entries}


def pytest_collection_modifyitems(config, items) -> None:
    """Deselect the listed tests."""
    known = read_known_red()
    deselected = [item for item in items if item.nodeid in known]
    if not deselected:
        return
    config.hook.pytest_deselected(items=deselected)
    items[:] = [item for item in items if item.nodeid not in known]


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the entries of the list."""
    for entry in read_known_red().values():
        terminalreporter.write_line(f'known red: {entry}')
