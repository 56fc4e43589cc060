"""Tests of evictions from engines' caches, and of which VMs poll them."""

import types

import pytest
import relay_builders as builders

from carobwood import events
from carobwood_daemon.relay import block_digests
from carobwood_daemon.relay import engine_cache_monitors
from carobwood_daemon.relay import messages
from carobwood_daemon.routing import prefix_cache_index

ENGINE = builders.endpoint()


class MonitorHarness:
    """A monitor of an engine with one block that is recorded as cached."""

    def __init__(self):
        self.prefix_cache_index = prefix_cache_index.PrefixCacheIndex()
        self.digest = block_digests.block_digest('v1', 'aa')
        self.prefix_cache_index.record_use(ENGINE, (self.digest,))
        self.monitor = engine_cache_monitors.EngineCacheMonitor(
            ENGINE, None, self.prefix_cache_index
        )

    @property
    def is_cached(self):
        """Whether the block is recorded as cached."""
        return self.prefix_cache_index.has_block(ENGINE, self.digest)

    def apply(self, *changes, has_gap=False):
        """Apply (is added, salt, segment id) changes to the monitor."""
        found = tuple(
            messages.CacheEvent(is_added, salt, segment_id)
            for is_added, salt, segment_id in changes
        )
        self.monitor.apply(messages.CacheEventBatch(1, 9, found, has_gap))


@pytest.fixture
def harness(monkeypatch):
    """Return a harness whose block was last used 5 s ago."""
    created = MonitorHarness()
    later = engine_cache_monitors.clocks.now() + 5.0
    monkeypatch.setattr(engine_cache_monitors.clocks, 'now', lambda: later)
    return created


def test_an_evicted_block_is_no_longer_recorded_as_cached(harness):
    harness.apply((False, 'v1', 'aa'))
    assert not harness.is_cached
    [_, removal] = harness.prefix_cache_index.log.read(0).records
    assert (removal.is_removed, removal.block_hashes) == (
        True,
        (harness.digest,),
    )


def test_evictions_of_other_blocks_are_ignored(harness):
    # The same segment under another salt is another block.
    harness.apply((False, 'v2', 'aa'), (False, 'v1', 'bb'))
    assert harness.is_cached
    # These blocks have no recorded placement, so no removal is logged for
    # the other VMs.
    assert len(harness.prefix_cache_index.log.read(0).records) == 1


def test_a_block_that_was_added_again_remains_recorded(harness):
    harness.apply((False, 'v1', 'aa'), (True, 'v1', 'aa'))
    assert harness.is_cached


def test_a_block_used_since_its_eviction_remains_recorded():
    # The request that uses the block was sent after the engine had written
    # the event.
    created = MonitorHarness()
    created.apply((False, 'v1', 'aa'))
    assert created.is_cached


def test_lost_events_are_logged(harness, monkeypatch):
    lines = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: lines.append((event, fields))
    )
    harness.apply(has_gap=True)
    assert lines == [
        (events.CACHE_EVENTS_LOST, {'endpoint': ENGINE.id, 'position': 9})
    ]


def _assigned_ids(own_vm, vms, engines):
    """Return the ids of the engines that a VM polls."""
    stub = types.SimpleNamespace
    configuration = stub(
        services=[
            stub(name='engines', engine=object()),
            stub(name='orders', engine=None),
        ]
    )
    monitors = engine_cache_monitors.EngineCacheMonitors(
        stub(configuration=configuration),
        stub(
            own_vm=own_vm,
            entry_vms=lambda: vms,
            serving_endpoints=lambda: engines,
        ),
        None,
        None,
    )
    return {endpoint.id for endpoint in monitors._assigned_engines()}


def _entry_vms(count, data_centre='bole'):
    return [
        types.SimpleNamespace(id=f'front-{n}', data_centre=data_centre)
        for n in range(count)
    ]


@pytest.mark.parametrize('count', [1, 7, 58])
def test_each_engine_is_polled_by_few_vms(count):
    vms = _entry_vms(count)
    engines = [builders.endpoint(f'engine-{n}') for n in range(30)]
    engines.append(builders.endpoint('orders-1', pool='orders'))
    counts = dict.fromkeys([engine.id for engine in engines], 0)
    for vm in vms:
        for engine_id in _assigned_ids(vm, vms, engines):
            counts[engine_id] += 1
    expected = min(count, engine_cache_monitors.VMS_PER_ENGINE)
    assert counts.pop('orders-1') == 0
    assert set(counts.values()) == {expected}


def test_the_engines_of_a_lost_vm_are_polled_by_others():
    engines = [builders.endpoint(f'engine-{n}') for n in range(30)]
    vms = _entry_vms(2)
    assigned_ids = _assigned_ids(vms[0], vms, engines)
    assert assigned_ids == {engine.id for engine in engines}


def test_an_engine_is_polled_from_its_own_data_centre():
    engines = [builders.endpoint(f'engine-{n}') for n in range(30)]
    near = _entry_vms(2)
    far = [
        types.SimpleNamespace(id=f'far-{n}', data_centre='yeka')
        for n in range(10)
    ]
    assert _assigned_ids(far[0], near + far, engines) == set()
    assert len(_assigned_ids(near[0], near + far, engines)) == 30
    assert _assigned_ids(far[0], far, engines)
