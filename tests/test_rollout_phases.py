"""Tests of the steps of a rollout."""

from carobwood_daemon.replication import fleet_state
from carobwood_daemon.rollouts import judge
from carobwood_daemon.rollouts import phases
import pytest

Phase = fleet_state.RolloutPhase
Verdict = judge.Verdict
RAMP = 10.0
SHIFT_SECONDS = 5.0


def _next(phase, seconds, verdict=Verdict.SOUND, level=0.0, **changes):
    """Return the phase that is due, or None."""
    fields = {
        'verdict': verdict,
        'finding': judge.Finding(level=level),
        'seconds_in_phase': seconds,
        'absent_seconds': 0.0,
        'has_left_others': False,
        'longest_timeout': 6.0,
    }
    situation = phases.Situation(**{**fields, **changes})
    step = phases.next_step(phase, RAMP, SHIFT_SECONDS, situation)
    return step and step.phase


@pytest.mark.parametrize(
    ('seconds', 'verdict', 'level', 'expected'),
    [
        (4.9, Verdict.SOUND, 0.0, None),
        (5.0, Verdict.SOUND, 0.0, Phase.SHIFTING),
        (9.9, Verdict.UNDECIDED, 0.0, None),
        (10.0, Verdict.UNDECIDED, 0.0, Phase.SHIFTING),
        (10.0, Verdict.UNDECIDED, 8.0, None),
        (30.0, Verdict.UNDECIDED, 8.0, Phase.ROLLED_BACK),
    ],
)
def test_a_canary_ends_by_its_evidence(seconds, verdict, level, expected):
    assert _next(Phase.CANARY, seconds, verdict, level) == expected


@pytest.mark.parametrize(
    'phase', [Phase.CANARY, Phase.SHIFTING, Phase.SETTLING]
)
def test_a_bad_version_goes_back_in_each_phase(phase):
    assert _next(phase, 0.0, Verdict.BAD) is Phase.ROLLED_BACK
    # Also if its endpoints have just gone.
    assert (
        _next(phase, 9.0, Verdict.BAD, absent_seconds=1.0) is Phase.ROLLED_BACK
    )


@pytest.mark.parametrize(
    ('phase', 'absent_seconds', 'expected'),
    [
        (Phase.CANARY, 29.0, None),
        (Phase.CANARY, 31.0, Phase.ROLLED_BACK),
        (Phase.SHIFTING, 4.0, None),
        (Phase.SHIFTING, 6.0, Phase.ROLLED_BACK),
        (Phase.SETTLING, 6.0, Phase.ROLLED_BACK),
    ],
)
def test_a_version_without_endpoints_waits_and_goes_back(
    phase, absent_seconds, expected
):
    found = _next(phase, 60.0, absent_seconds=absent_seconds)
    assert found == expected


def test_all_requests_go_to_the_target_once_the_share_is_one():
    assert _next(Phase.SHIFTING, 4.9) is None
    assert phases.share(SHIFT_SECONDS, SHIFT_SECONDS) == 1.0
    assert _next(Phase.SHIFTING, 5.0) is Phase.SETTLING


def test_the_share_never_falls_and_grows_slowly_at_first():
    shares = [phases.share(n / 10, SHIFT_SECONDS) for n in range(51)]
    assert shares == sorted(shares)
    assert shares[25] < 0.2


def test_success_waits_for_the_last_request_or_its_timeout():
    left = {'has_left_others': True}
    assert _next(Phase.SETTLING, 1.4, **left) is None
    assert _next(Phase.SETTLING, 1.5, **left) is Phase.SUCCEEDED
    assert _next(Phase.SETTLING, 7.4) is None
    assert _next(Phase.SETTLING, 7.6) is Phase.SUCCEEDED


def test_a_new_owner_shifts_over_a_part_of_the_ramp():
    assert phases.shift_seconds(RAMP, 5.0) == 5.0
    assert phases.shift_seconds(RAMP, 9.5) == phases.MIN_SHIFT_SECONDS
    assert phases.shift_seconds(RAMP, None) == 2.5
