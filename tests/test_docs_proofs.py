"""Tests of the page on proofs."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

_ROOT = Path(__file__).parents[1]
_PAGE = _ROOT / 'docs' / 'proofs.md'
_NAME = re.compile(r'`(?:([\w/.]+\.py)::)?(Test\w+)::(test_\w+)`')
_FILE = re.compile(r'Tests in `([\w/.]+\.py)`:')


class TestProofs:
    """Guards against proofs that name tests which do not exist."""

    def test_names(self) -> None:
        """Every test on the page exists."""
        named = list(_named_tests())
        assert len(named) >= 18
        for path, class_name, test_name in named:
            assert test_name in _methods(path, class_name)

    def test_invariants(self) -> None:
        """Every invariant has a row."""
        rows = re.findall(r'^\| (I\d) ', _PAGE.read_text(), re.MULTILINE)
        assert rows == [f'I{number}' for number in range(1, 10)]


def _named_tests() -> Iterator[tuple[str, str, str]]:
    path = ''
    for line in _PAGE.read_text().splitlines():
        for found in _FILE.finditer(line):
            path = found[1]
        for found in _NAME.finditer(line):
            yield found[1] or path, found[2], found[3]


def _methods(path: str, class_name: str) -> set[str]:
    tree = ast.parse((_ROOT / path).read_text())
    return {
        method.name
        for node in tree.body
        if isinstance(node, ast.ClassDef) and node.name == class_name
        for method in node.body
        if isinstance(method, ast.FunctionDef)
    }
