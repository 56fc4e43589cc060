"""Tests of the choice of VMs that requests are forwarded to.

Load pattern: a part of the entry VMs, or a whole data centre of them, reaches
no endpoint for seconds, at 8, 60 and 200 VMs.
"""

import collections
import random

from carobwood_daemon.membership import directory
from carobwood_daemon.relay import forwarding_peers
import pytest
import relay_builders as builders

DATA_CENTRES = 4
REQUESTS_PER_VM = 40
# Most that a VM takes, as a multiple of the mean. A mean of 40 or more
# requests at random stays well within it.
MAX_IMBALANCE = 2.0


def _vm(number, **changes):
    fields = {
        'id': f'front-{number}',
        'data_centre': f'dc-{number % DATA_CENTRES}',
        'link_address': f'10.0.0.{number}:1',
        'operator_address': '',
        'incarnation': 1,
        'has_disk': False,
        'takes_callers': True,
        'forward_address': f'10.0.0.{number}:3',
    }
    return directory.Vm(**{**fields, **changes})


def _peers(clock, own, vms, seed=0):
    fleet_directory = directory.Directory(own, (), clock)
    for vm in vms:
        fleet_directory.note_message(vm, 1)
    return forwarding_peers.ForwardingPeers(
        fleet_directory, clock, random.Random(seed).choice
    )


def _cut_off(number=1, is_cut_off=True, incarnation=1):
    return forwarding_peers.CutOffState(incarnation, number, is_cut_off)


@pytest.mark.parametrize('count', [8, 60, 200])
@pytest.mark.parametrize('cut', ['data centre', 'most'])
def test_vms_that_reach_endpoints_get_equal_shares(count, cut):
    clock = builders.Clock()
    vms = [_vm(number) for number in range(count)]
    if cut == 'most':
        cut_off = vms[: int(0.6 * count)]
    else:
        cut_off = [vm for vm in vms if vm.data_centre == 'dc-0']
    taken = collections.Counter()
    for own in cut_off:
        peers = _peers(clock, own, vms, own.id)
        for vm in cut_off:
            peers.merge(vm.id, _cut_off())
        taken.update(peers.choose(()).id for _ in range(REQUESTS_PER_VM))
    reaching = {vm.id for vm in vms} - {vm.id for vm in cut_off}
    assert set(taken) <= reaching
    mean = REQUESTS_PER_VM * len(cut_off) / len(reaching)
    assert max(taken.values()) <= MAX_IMBALANCE * mean


def test_a_vm_that_took_no_request_is_avoided_for_a_while():
    clock = builders.Clock()
    peers = _peers(clock, _vm(0), [_vm(1)])
    assert peers.choose(()).id == 'front-1'
    assert peers.choose({'front-1'}) is None
    peers.avoid('front-1')
    assert peers.choose(()) is None
    clock.advance(forwarding_peers.AVOID_SECONDS)
    assert peers.choose(()).id == 'front-1'


def test_older_news_and_news_of_an_earlier_incarnation_count_nothing():
    peers = _peers(builders.Clock(), _vm(0), [_vm(1, incarnation=2)])
    peers.merge('front-1', _cut_off(2, False, 2))
    peers.merge('front-1', _cut_off(1, True, 2))
    peers.merge('front-1', _cut_off(9, True, 1))
    assert peers.choose(()).id == 'front-1'
    peers.merge('front-1', _cut_off(3, True, 2))
    assert peers.choose(()) is None


def test_control_vms_and_silent_vms_are_not_chosen():
    clock = builders.Clock()
    control_vm = _vm(1, takes_callers=False)
    old_build = _vm(2, forward_address='')
    peers = _peers(clock, _vm(0), [control_vm, old_build, _vm(3)])
    assert peers.choose(()).id == 'front-3'
    clock.advance(directory.VM_SILENCE_SECONDS + 1.0)
    assert peers.choose(()) is None


def test_the_own_state_grows_with_each_change():
    peers = _peers(builders.Clock(), _vm(0), [])
    told = []
    peers.on_change(told.append)
    peers.set_own_state(True)
    peers.set_own_state(False)
    assert told == ['front-0', 'front-0']
    assert peers.find_state('front-0') == _cut_off(2, False)
