"""Names that leave the process must not disappear from the source.

A renamed class, field or text would change a message, a stored row, a setting or a
metric, and no other test need notice. docs/design/outer-names.txt has one name a line.
"""

import ast
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[4]
NAMES = ROOT / "docs" / "design" / "outer-names.txt"
SOURCES = ("packages", "platform")
IDENTIFIER_FIELDS = ("id", "attr", "arg", "name", "asname")
FEWEST_NAMES = 1_000  # the list has more; a cut file would make the test pass


def collect_source_names() -> set[str]:
    """Return all identifiers and texts of the source, without its tests."""
    found = set()
    for folder in SOURCES:
        for path in sorted((ROOT / folder).rglob("*.py")):
            if "tests" in path.relative_to(ROOT).parts:
                continue
            found.update(collect_names(ast.parse(path.read_text(encoding="utf-8"))))
    return found


def collect_names(tree: ast.AST) -> set[str]:
    """Return the identifiers and texts of one module."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            found.add(node.value)
        for field in IDENTIFIER_FIELDS:
            value = getattr(node, field, None)
            if isinstance(value, str):
                found.add(value)
    return found


class OuterNamesTest(unittest.TestCase):
    def test_each_listed_name_stands_in_the_source(self):
        listed = NAMES.read_text(encoding="utf-8").splitlines()
        missing = sorted(set(listed) - collect_source_names())
        self.assertEqual(missing, [])

    def test_list_is_whole(self):
        listed = NAMES.read_text(encoding="utf-8").splitlines()
        self.assertGreater(len(listed), FEWEST_NAMES)
        self.assertEqual(listed, sorted(set(listed)))
