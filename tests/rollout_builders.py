"""Builders of test data for rollouts of software versions."""

from carobwood_daemon.membership import directory as directories
from carobwood_daemon.replication import fleet_state
from carobwood_daemon.rollouts import evidence

SERVICE = 'engines'
ROUTE = 'checks'


def record(**changes):
    """Return the ``RolloutRecord`` of a rollout that has just begun."""
    fields = {
        'index': 5,
        'service': SERVICE,
        'target_version': 'v2',
        'ramp_ms': 10_000,
    }
    return fleet_state.RolloutRecord(**{**fields, **changes})


def vm(name='front-0', **changes):
    """Return an entry VM of this build that was heard of at time 1000."""
    fields = {
        'id': name,
        'data_centre': 'bole',
        'link_address': f'{name}:1',
        'operator_address': '',
        'incarnation': 1,
        'has_disk': False,
        'takes_callers': True,
        'last_seen_at': 1000.0,
        'features': frozenset(('rollouts',)),
    }
    return directories.Vm(**{**fields, **changes})


def results(times=(), failed=0, pauses=(), in_flight=0):
    """Return the ``RouteResults`` of answers that took some seconds each.

    Args:
        times: seconds of each answer that succeeded.
        failed: number of answers that failed.
        pauses: seconds of the longest pause of each stream.
        in_flight: requests at endpoints.
    """
    return evidence.RouteResults(
        len(times) + failed + in_flight,
        len(times),
        failed,
        _histogram(times),
        _histogram(pauses),
        in_flight,
    )


def _histogram(seconds):
    counts = [0] * evidence.BUCKETS
    for each in seconds:
        counts[evidence.bucket_of(each)] += 1
    return tuple(counts)
