"""Tests of the memory of answers that end before they are whole."""

import json
import pathlib
import subprocess
import sys

import kept_answer
import pytest

MAX_SECONDS = 120.0


@pytest.fixture(scope='module')
def figures():
    """Return the resident bytes that ``kept_answer`` prints."""
    result = subprocess.run(
        [sys.executable, pathlib.Path(kept_answer.__file__)],
        check=True,
        capture_output=True,
        timeout=MAX_SECONDS,
    )
    return kept_answer.Figures(**json.loads(result.stdout))


def test_an_answer_is_kept_until_it_fails(figures):
    kept = figures.with_answer - figures.before
    assert kept > 0.9 * kept_answer.ANSWER_BYTES


# Answers of failed attempts stayed in memory after the budget had the bytes
# back: their errors kept them, and then the heaps of the threads.
def test_a_failed_answer_is_kept_no_longer_than_its_bytes_are_counted(figures):
    assert figures.counted_after == 0
    kept = figures.after - figures.before
    assert kept < kept_answer.OTHERS_BYTES + 0.05 * kept_answer.ANSWER_BYTES
