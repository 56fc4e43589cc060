"""Short soaks of a site of real processes in faults that overlap.

They wait for conditions and judge no times. Each seed that has broken a
promise is kept in ``FAILED_SEEDS`` with its cause.
"""

import pytest

import builds
import soak
import soak_cases

# Stops beside silences of one and of all endpoints; 1 has three engines and
# 2 has another layout.
SEEDS = (1,)
# Seeds that have broken a promise, with the cause.
FAILED_SEEDS = {}
SECONDS = 20.0
CALLER_COUNT = 12


@pytest.mark.parametrize('seed', [*SEEDS, *FAILED_SEEDS])
def test_promises_are_kept_in_faults_that_overlap(seed, tmp_path):
    build = builds.prepare(builds.WORKING_TREE, tmp_path)
    plan = soak.Plan(seed, build, build, SECONDS, CALLER_COUNT)
    outcome = soak.run(plan, tmp_path)
    assert [v for v in outcome.verdicts if not v.is_kept] == []


# Each stream was cut: the VM had given it up before it looked for another
# endpoint, and there was none (issue 47).
def test_a_stop_beside_a_silent_endpoint_cuts_no_stream(tmp_path):
    build = builds.prepare(builds.WORKING_TREE, tmp_path)
    case = soak_cases.CASES_BY_NAME['one-stop']
    ends = soak_cases.run(case, build, build, tmp_path)
    assert ends == {'whole': case.stream_count}
