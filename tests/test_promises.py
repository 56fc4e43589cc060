"""Checks that every table row of docs/promises.md names existing tests."""

import pathlib
import re

TESTS = pathlib.Path(__file__).parent
PAGE = TESTS.parent / 'docs' / 'promises.md'
# Expected numbers of rows, so that a row that is lost or not parsed fails.
PROMISE_ROWS = 13
FAULT_ROWS = 9
PLATFORM_PROMISE_ROWS = 12


def _test_and_scenario_names():
    names = set()
    for path in TESTS.glob('features/*.feature'):
        names |= set(
            re.findall(r'Scenario(?: Outline)?: (.+)', path.read_text())
        )
    for path in TESTS.glob('test_*.py'):
        names |= set(re.findall(r'^def (test_\w+)', path.read_text(), re.M))
    return names


def _table_rows():
    lines = PAGE.read_text().splitlines()
    rows = [line for line in lines if line.startswith('| ')]
    return [row for row in rows if row.split('|')[1].strip()[0].isupper()]


def test_every_row_names_existing_tests():
    existing = _test_and_scenario_names()
    rows = _table_rows()
    assert len(rows) == PROMISE_ROWS + PLATFORM_PROMISE_ROWS + FAULT_ROWS
    for row in rows:
        named = re.findall(r'`([^`]+)`', row)
        assert named, row
        assert set(named) <= existing, set(named) - existing
