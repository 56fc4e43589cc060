"""Tests of endpoints that one VM has dropped and another one has kept.

Entry VMs probe silent endpoints and drop those that accept no connection;
control VMs keep them. In simulated time.
"""

import dataclasses

from carobwood import events
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.membership import periodic_tasks
from carobwood_daemon.routing import prefix
import gossip_fleet
import pytest
import relay_builders as builders

HEARTBEAT_SECONDS = 1.2
# Longest time from the first announcement after a silence until all VMs know
# of it.
NEWS_SECONDS = 2.0
# Time in which a VM asks for what it has dropped and its aggregator hears.
REPAIR_SECONDS = 8.0
OUTAGE_SECONDS = 5.5
BLOCK = b'b' * prefix.DIGEST_BYTES


class _Site:
    """A fleet, and endpoints that announce themselves and may be cut off.

    Attributes:
        fleet: the ``GossipFleet``.
        heard_by_id: id of the control VM that an endpoint announces to, or
            None while it can reach none.
        unreachable: (id of an entry VM, id of an endpoint) pairs between
            which no connection can be made.
    """

    def __init__(self, monkeypatch, data_centres=3, entry_vms=6):
        self.fleet = gossip_fleet.GossipFleet(
            monkeypatch, data_centres, entry_vms
        )
        self.heard_by_id = {}
        self.unreachable = set()
        self._sequence = 0
        self._announced_at_by_id = {}
        self._probers_by_vm_id = {
            vm.own_vm.id: self._prober(vm) for vm in self.fleet.entry_vms()
        }
        self._probed_at = 0.0
        self.fleet.run(4.0)

    def cut_off(self, endpoint_id):
        """Cut an endpoint off from all VMs."""
        self.heard_by_id[endpoint_id] = None
        for vm in self.fleet.entry_vms():
            self.unreachable.add((vm.own_vm.id, endpoint_id))

    def join_again(self, endpoint_id, control_id):
        """End the partition of an endpoint."""
        self.heard_by_id[endpoint_id] = control_id
        self.unreachable = {
            pair for pair in self.unreachable if pair[1] != endpoint_id
        }

    def run(self, seconds, on_step=lambda: None):
        """Run for some seconds with announcements and probes."""

        def step():
            self._step()
            on_step()

        self.fleet.run(seconds, step)

    def knowing_ids(self, endpoint_id):
        """Return the ids of the entry VMs that know an endpoint."""
        return {
            vm.own_vm.id
            for vm in self.fleet.entry_vms()
            if vm.directory.find_endpoint(endpoint_id) is not None
        }

    @property
    def entry_ids(self):
        """Ids of all entry VMs."""
        return {vm.own_vm.id for vm in self.fleet.entry_vms()}

    def _prober(self, vm):
        def is_alive(endpoint):
            return (vm.own_vm.id, endpoint.id) not in self.unreachable

        return periodic_tasks.SilentEndpointProber(
            vm.directory, vm.prefix_cache_index.forget, is_alive
        )

    def _step(self):
        now = self.fleet.clock.now
        for endpoint_id, control_id in self.heard_by_id.items():
            announced_at = self._announced_at_by_id.get(endpoint_id, 0.0)
            if now - announced_at < HEARTBEAT_SECONDS or control_id is None:
                continue
            self._announced_at_by_id[endpoint_id] = now
            self._announce(endpoint_id, control_id)
        if now - self._probed_at >= periodic_tasks.PROBE_PERIOD_SECONDS:
            self._probed_at = now
            for vm_id, prober in self._probers_by_vm_id.items():
                if vm_id not in self.fleet.frozen_ids:
                    prober.run_once()

    def _announce(self, endpoint_id, control_id):
        self._sequence += 1
        endpoint = builders.endpoint(
            endpoint_id,
            sequence=self._sequence,
            last_seen_at=self.fleet.clock.now,
        )
        self.fleet.vms_by_id[control_id].directory.merge_endpoint(
            endpoint, is_direct=True
        )


@pytest.fixture
def site(monkeypatch):
    """Return a site with an endpoint that all VMs know."""
    found = _Site(monkeypatch)
    found.heard_by_id['engine-1'] = 'core-0'
    found.run(4.0)
    assert found.knowing_ids('engine-1') == found.entry_ids
    return found


# An endpoint that was cut off for some seconds got no requests ever again:
# entry VMs had dropped it, and its announcements were no news to control VMs.
def test_an_endpoint_that_all_entry_vms_dropped_is_known_again(site):
    site.cut_off('engine-1')
    site.run(OUTAGE_SECONDS + 2.0)
    assert site.knowing_ids('engine-1') == set()
    site.join_again('engine-1', 'core-0')
    site.run(HEARTBEAT_SECONDS + NEWS_SECONDS)
    assert site.knowing_ids('engine-1') == site.entry_ids


# The same with an endpoint that announces itself to another control VM
# afterwards.
def test_an_endpoint_that_was_dropped_may_announce_itself_elsewhere(site):
    site.cut_off('engine-1')
    site.run(OUTAGE_SECONDS + 2.0)
    site.join_again('engine-1', 'core-2')
    site.run(HEARTBEAT_SECONDS + NEWS_SECONDS)
    assert site.knowing_ids('engine-1') == site.entry_ids


# Entry VMs of a data centre that was cut off dropped the endpoints of the
# others, which were never silent elsewhere, and lost them for good.
def test_a_data_centre_that_was_cut_off_knows_the_others_endpoints(site):
    inside = {
        vm.own_vm.id
        for vm in site.fleet.entry_vms()
        if vm.own_vm.data_centre == 'dc-1'
    }
    site.fleet.cut('dc-1')
    site.unreachable = {(vm_id, 'engine-1') for vm_id in inside}
    site.run(OUTAGE_SECONDS + 2.0)
    assert site.knowing_ids('engine-1') == site.entry_ids - inside
    site.fleet.heal('dc-1')
    site.unreachable.clear()
    site.run(NEWS_SECONDS + REPAIR_SECONDS)
    assert site.knowing_ids('engine-1') == site.entry_ids


# A VM that has not run for a while probes by what it knew last, and may drop
# an endpoint that its aggregator has heard all the time.
def test_a_vm_that_was_frozen_knows_what_its_aggregator_hears(site):
    site.fleet.frozen_ids.add('front-0')
    site.unreachable = {('front-0', 'engine-1')}
    site.run(OUTAGE_SECONDS)
    site.fleet.frozen_ids.clear()
    vm = site.fleet.vms_by_id['front-0']
    site._probers_by_vm_id['front-0'].run_once()
    assert vm.directory.find_endpoint('engine-1') is None
    site.unreachable.clear()
    site.run(REPAIR_SECONDS)
    assert site.knowing_ids('engine-1') == site.entry_ids


# An endpoint was lost for good to a VM that had once got the answer of another
# one at its address.
def test_an_endpoint_that_goes_on_after_a_wrong_answer_is_known_again(site):
    vm = site.fleet.vms_by_id['front-0']
    endpoint = vm.directory.find_endpoint('engine-1')
    vm.directory.drop_replaced(endpoint, 'engine-2')
    assert vm.directory.find_endpoint('engine-1') is None
    site.run(REPAIR_SECONDS)
    assert site.knowing_ids('engine-1') == site.entry_ids


# One that has ended must not come back.
def test_an_endpoint_that_ended_stays_dropped(site):
    site.cut_off('engine-1')
    site.run(60.0)
    assert site.knowing_ids('engine-1') == set()


# The prompts that an engine had cached were computed again elsewhere: a VM
# forgot them with the endpoint, and nobody told it of them again.
@pytest.mark.parametrize('is_silent', [True, False])
def test_the_cached_blocks_of_a_dropped_endpoint_are_known_again(
    site, is_silent
):
    endpoint = site.fleet.vms_by_id['core-0'].directory.find_endpoint(
        'engine-1'
    )
    site.fleet.vms_by_id['front-1'].prefix_cache_index.record_use(
        endpoint, (BLOCK,)
    )
    site.run(1.0)
    index = site.fleet.vms_by_id['front-0'].prefix_cache_index
    assert index.has_block(endpoint, BLOCK)
    if is_silent:
        site.cut_off('engine-1')
        site.run(OUTAGE_SECONDS)
        site.join_again('engine-1', 'core-0')
    else:
        vm = site.fleet.vms_by_id['front-0']
        vm.directory.drop_endpoint(vm.directory.find_endpoint('engine-1'))
        index.forget(endpoint)
    assert not index.has_block(endpoint, BLOCK)
    site.run(REPAIR_SECONDS)
    assert index.has_block(endpoint, BLOCK)


# A VM must not ask again and again for what nobody knows.
def test_an_endpoint_that_is_known_nowhere_is_asked_for_once(
    site, monkeypatch
):
    asked = []
    monkeypatch.setattr(
        events,
        'emit',
        lambda event, **fields: asked.append(event),
    )
    site.heard_by_id['engine-1'] = None
    for vm in site.fleet.vms_by_id.values():
        vm.directory.drop_endpoint(vm.directory.find_endpoint('engine-1'))
    site.run(30.0)
    assert asked.count(events.RECORDS_READ_AGAIN) == len(site.entry_ids)


# An endpoint that had ended got requests again for a second each time that a
# VM read what its aggregator had kept of it.
def test_an_endpoint_that_ended_stays_dropped_as_another_one_returns(site):
    site.heard_by_id['engine-2'] = 'core-1'
    site.run(4.0)
    for endpoint_id in ('engine-1', 'engine-2'):
        site.cut_off(endpoint_id)
    site.run(OUTAGE_SECONDS + 2.0)
    site.join_again('engine-2', 'core-1')
    known = set()

    def note_known():
        known.update(site.knowing_ids('engine-1'))

    site.run(HEARTBEAT_SECONDS + NEWS_SECONDS + REPAIR_SECONDS, note_known)
    assert site.knowing_ids('engine-2') == site.entry_ids
    assert known == set()


@pytest.mark.parametrize('silence', [4.0, 4.1])
def test_an_announcement_is_news_after_a_silence_only(silence):
    clock = builders.Clock(100.0)
    table = endpoint_table.EndpointTable(clock)
    endpoint = builders.endpoint(last_seen_at=clock.now)
    told = []
    table.merge_endpoint(endpoint)
    table.on_endpoint_change(told.append)
    clock.advance(silence)
    again = dataclasses.replace(endpoint, sequence=2, last_seen_at=clock.now)
    table.merge_endpoint(again)
    is_longer = silence > endpoint_table.ENDPOINT_SILENCE_SECONDS
    assert told == ([again] if is_longer else [])
