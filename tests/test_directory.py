"""Tests of the tables of VMs and endpoints."""

import dataclasses
import pathlib
import re

from carobwood_daemon.membership import directory

PACKAGES = pathlib.Path(__file__).parents[1] / 'packages'
# Modules that may read the wall clock: for incarnations, which are corrected
# by what peers report, and for the time stamps of log lines.
WALL_CLOCK_MODULES = {'incarnations.py', 'logs.py'}

OWN = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 100, False)
OTHER = directory.Vm('vm2', 'bole', '127.0.0.1:2', '', 100, True)
ENDPOINT = directory.Endpoint(
    'engine-1', 5, 1, '127.0.0.1:9', 'bole', 'engines', 'production'
)


def _directory():
    return directory.Directory(OWN, ('127.0.0.1:2',))


def test_a_vm_exceeds_its_earlier_incarnation_after_a_clock_step_back():
    known_fleet = _directory()
    known_fleet.merge_vm(dataclasses.replace(OWN, incarnation=500), False)
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


def test_an_older_incarnation_of_a_vm_does_not_replace_it():
    known_fleet = _directory()
    known_fleet.merge_vm(dataclasses.replace(OTHER, incarnation=200), True, 9)
    known_fleet.merge_vm(OTHER, True, 3)
    known = known_fleet.vms()[1]
    assert (known.incarnation, known.version) == (200, 9)
    assert known_fleet.peer_addresses() == ['127.0.0.1:2']
