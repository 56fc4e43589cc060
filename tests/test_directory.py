"""Tests of the tables of VMs and endpoints."""

import dataclasses
import pathlib
import re

from carobwood.gen.links import ttypes
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import endpoint_table
import relay_builders as builders

PACKAGES = pathlib.Path(__file__).parents[1] / 'packages'
# Modules that may read the wall clock: for incarnations, which are corrected
# by what peers report, and for the time stamps of log lines.
WALL_CLOCK_MODULES = {'incarnations.py', 'logs.py'}

OWN = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 100, False)
OTHER = directory.Vm('vm2', 'bole', '127.0.0.1:2', '', 100, True)
ENDPOINT = endpoint_table.Endpoint(
    'engine-1', 5, 1, '127.0.0.1:9', 'bole', 'engines', 'production'
)


def _directory():
    return directory.Directory(OWN, ('127.0.0.1:2',))


def test_a_vm_exceeds_its_earlier_incarnation_after_a_clock_step_back():
    known_fleet = _directory()
    known_fleet.merge_vm(dataclasses.replace(OWN, incarnation=500))
    assert known_fleet.own_vm.incarnation == 501


def test_only_two_modules_read_the_wall_clock():
    pattern = re.compile(r'time\.time(_ns)?\(|datetime\.now|utcnow')
    found = {
        path.name
        for path in PACKAGES.rglob('*.py')
        if '/gen/' not in str(path) and pattern.search(path.read_text())
    }
    assert found <= WALL_CLOCK_MODULES


def test_an_older_announcement_never_replaces_a_newer_one():
    known_fleet = _directory()
    assert known_fleet.merge_endpoint(
        dataclasses.replace(ENDPOINT, sequence=7)
    )
    assert not known_fleet.merge_endpoint(
        dataclasses.replace(ENDPOINT, sequence=6)
    )
    restarted = dataclasses.replace(ENDPOINT, incarnation=6, sequence=1)
    assert known_fleet.merge_endpoint(restarted)
    assert not known_fleet.merge_endpoint(
        dataclasses.replace(ENDPOINT, sequence=9)
    )
    assert known_fleet.find_endpoint('engine-1') == restarted


def test_a_dropped_endpoint_returns_only_with_a_newer_announcement():
    known_fleet = _directory()
    known_fleet.merge_endpoint(ENDPOINT)
    known_fleet.drop_endpoint(ENDPOINT)
    assert not known_fleet.merge_endpoint(ENDPOINT)
    assert known_fleet.merge_endpoint(
        dataclasses.replace(ENDPOINT, sequence=2)
    )


# A request was sent to each earlier endpoint of an address in turn, as the
# next one counted once the last was dropped.
def test_the_earlier_endpoints_of_an_address_are_dropped_with_the_last():
    known_fleet = _directory()
    earlier = dataclasses.replace(ENDPOINT, id='engine-0', incarnation=4)
    later = dataclasses.replace(ENDPOINT, id='engine-2', incarnation=6)
    elsewhere = dataclasses.replace(
        ENDPOINT, id='engine-3', incarnation=4, address='127.0.0.1:8'
    )
    for endpoint in (earlier, ENDPOINT, later, elsewhere):
        known_fleet.merge_endpoint(endpoint)
    known_fleet.drop_replaced(ENDPOINT, later.id)
    assert {e.id for e in known_fleet.endpoints()} == {'engine-2', 'engine-3'}
    assert known_fleet.has_ended('engine-0', 4)


# One that leaves may still end its streams, and the clock of the one that
# answers may have been set back.
def test_what_leaves_and_what_answers_at_an_address_stays_known():
    known_fleet = _directory()
    leaving = dataclasses.replace(
        ENDPOINT, id='engine-0', incarnation=4, leaving=True
    )
    found = dataclasses.replace(ENDPOINT, id='engine-2', incarnation=3)
    for endpoint in (leaving, ENDPOINT, found):
        known_fleet.merge_endpoint(endpoint)
    known_fleet.drop_replaced(ENDPOINT, found.id)
    assert {e.id for e in known_fleet.endpoints()} == {'engine-0', 'engine-2'}


def test_an_older_incarnation_of_a_vm_does_not_replace_it():
    known_fleet = _directory()
    known_fleet.note_message(dataclasses.replace(OTHER, incarnation=200), 9)
    known_fleet.note_message(OTHER, 3)
    known_fleet.merge_vm(OTHER)
    known = known_fleet.vms()[1]
    assert (known.incarnation, known.version) == (200, 9)
    assert known_fleet.peer_addresses() == ['127.0.0.1:2']


def test_an_older_roster_never_replaces_a_newer_one():
    known_fleet = _directory()
    newer = ttypes.Roster('vm2', 100, 2, [ttypes.RosterEntry('vm3', 1)], [])
    known_fleet.merge_roster(newer)
    known_fleet.merge_roster(ttypes.Roster('vm2', 100, 1, [], []))
    known_fleet.merge_roster(ttypes.Roster('vm2', 99, 7, [], []))
    assert known_fleet.find_roster('vm2') == newer


def test_a_vm_on_the_roster_of_a_silent_aggregator_is_silent():
    clock = builders.Clock()
    known_fleet = directory.Directory(OWN, (), clock)
    member = directory.Vm('vm3', 'bole', '127.0.0.1:3', '', 100, False)
    known_fleet.note_message(OTHER, 0)
    known_fleet.merge_vm(member)
    known_fleet.merge_roster(
        ttypes.Roster('vm2', 100, 1, [ttypes.RosterEntry('vm3', 5)], [])
    )
    [found] = [vm for vm in known_fleet.vms() if vm.id == 'vm3']
    assert not found.is_silent(clock.now)
    clock.advance(directory.VM_SILENCE_SECONDS + 0.1)
    [found] = [vm for vm in known_fleet.vms() if vm.id == 'vm3']
    assert found.is_silent(clock.now)


def test_a_lost_vm_without_a_disk_is_forgotten_in_the_end():
    clock = builders.Clock()
    known_fleet = directory.Directory(OWN, (), clock)
    member = directory.Vm('vm3', 'bole', '127.0.0.1:3', '', 100, False)
    known_fleet.note_message(OTHER, 0)
    known_fleet.note_message(member, 0, is_member=True)
    known_fleet.review_vms(is_aggregator=True)
    clock.advance(directory.VM_FORGET_SECONDS + 1)
    known_fleet.review_vms(is_aggregator=True)
    assert [vm.id for vm in known_fleet.vms()] == ['vm1', 'vm2']
