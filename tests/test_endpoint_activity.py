"""Which endpoints count as silent."""

from carobwood_daemon.relay import endpoint_activity
import pytest
import relay_builders as builders

LONG_SECONDS = 2 * endpoint_activity.SILENT_SECONDS


@pytest.fixture
def clock():
    """Return a clock that the test advances."""
    return builders.Clock()


@pytest.fixture
def activity(clock):
    """Return an empty table."""
    return endpoint_activity.EndpointActivity(clock)


def test_an_endpoint_without_streams_is_not_silent(activity, clock):
    activity.begin('engine-1')
    activity.end('engine-1')
    clock.advance(LONG_SECONDS)
    assert activity.silent_ids() == set()


def test_an_endpoint_that_sends_nothing_is_silent(activity, clock):
    activity.begin('engine-1')
    activity.begin('engine-2')
    clock.advance(LONG_SECONDS)
    activity.note_event('engine-2')
    assert activity.silent_ids() == {'engine-1'}


def test_the_end_of_a_stream_does_not_end_a_silence(activity, clock):
    activity.begin('engine-1')
    activity.begin('engine-1')
    clock.advance(LONG_SECONDS)
    activity.end('engine-1')
    assert activity.silent_ids() == {'engine-1'}


def test_a_stream_that_begins_ends_a_silence(activity, clock):
    activity.begin('engine-1')
    clock.advance(LONG_SECONDS)
    activity.begin('engine-1')
    assert activity.silent_ids() == set()
