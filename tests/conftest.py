"""Fixtures that all tests share."""

import pathlib
import sys

import pytest

BENCH = pathlib.Path(__file__).resolve().parent.parent / 'bench'
sys.path.insert(0, str(BENCH))


@pytest.fixture
def fleet(tmp_path):
    """Give an empty ``Fleet`` whose processes end with the test."""
    import fleet as fleets

    with fleets.Fleet(tmp_path) as empty:
        yield empty
