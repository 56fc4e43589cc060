"""Times after which callers of refused requests return."""

import random
import types

from carobwood import errors
from carobwood_daemon.relay import load_features as features
from carobwood_daemon.relay import relay
from carobwood_daemon.relay import return_times
import pytest

DRAWS = 2000


def _named_seconds(seconds_left, source):
    """Return the seconds that a refused caller reads."""
    context = types.SimpleNamespace(
        load_features=features.LoadFeatures(controls_admission=True)
    )
    seconds = return_times.seconds_until_return(seconds_left, source)
    error = errors.Saturated('no place', seconds)
    return float(relay.Relay(context, None, None, None).retry_after(error))


# A time was rounded up past the third of the time left that callers honour,
# and one in ten of them returned at once.
@pytest.mark.parametrize('seconds_left', [0.5, 1.5, 4.0, 5.0, 12.0, 15.0])
def test_a_named_time_is_one_that_callers_honour(seconds_left):
    source = random.Random(1)
    latest = seconds_left * return_times.HONOURED_FRACTION
    named = [_named_seconds(seconds_left, source) for _ in range(DRAWS)]
    assert max(named) <= latest
    assert min(named) >= return_times.EARLIEST_FRACTION * latest - 0.01
