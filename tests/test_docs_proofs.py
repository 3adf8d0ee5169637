"""Tests of docs/proofs.md."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

_ROOT = Path(__file__).parents[1]
_PAGE = _ROOT / 'docs' / 'proofs.md'
_NAME = re.compile(r'`(?:([\w/.]+\.py)::)?(Test\w+)::(test_\w+)`')
_FILE = re.compile(r'Tests in `([\w/.]+\.py)`:')


class TestProofs:
    """Guards against missing invariants and references to missing tests."""

    def test_names(self) -> None:
        """Every test that the page names exists."""
        named = list(_named_tests())
        assert len(named) >= 18
        for path, class_name, test_name in named:
            assert test_name in _list_methods(path, class_name)

    def test_invariants(self) -> None:
        """Every invariant has a row in the table."""
        rows = re.findall(r'^\| (I\d) ', _PAGE.read_text(), re.MULTILINE)
        assert rows == [f'I{number}' for number in range(1, 10)]


def _named_tests() -> Iterator[tuple[str, str, str]]:
    path = ''
    for line in _PAGE.read_text().splitlines():
        for match in _FILE.finditer(line):
            path = match[1]
        for match in _NAME.finditer(line):
            yield match[1] or path, match[2], match[3]


def _list_methods(path: str, class_name: str) -> set[str]:
    tree = ast.parse((_ROOT / path).read_text())
    return {
        method.name
        for node in tree.body
        if isinstance(node, ast.ClassDef) and node.name == class_name
        for method in node.body
        if isinstance(method, ast.FunctionDef)
    }
