"""Streams over real processes whose endpoint falls silent beside changes."""

import pytest

import builds
import soak_cases

# The first configuration, and some in force beside the silence.
LEAST_CONFIGURATIONS = 3


# Each stream was cut although its endpoint went on a moment later (issue 54).
@pytest.mark.parametrize('name', ['changes', 'changes-stop'])
def test_a_silence_beside_changes_cuts_no_stream(name, tmp_path):
    build = builds.prepare(builds.WORKING_TREE, tmp_path)
    case = soak_cases.CASES_BY_NAME[name]
    records = soak_cases.play(case, build, build, tmp_path)
    assert len(records.changes) >= LEAST_CONFIGURATIONS
    assert len(records.silences) == case.silent_count
    assert soak_cases.count_ends(records) == {'whole': case.stream_count}
