"""Tests of the gate of commands that older builds do not know."""

from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import build_features
from carobwood_daemon.membership import directory as directories
import pytest
import rollout_builders as builders

NOW = 1001.0


def _require(*vms, members=()):
    build_features.require(build_features.ROLLOUTS, vms, members, NOW)


def test_the_gate_is_open_while_all_vms_name_the_feature():
    _require(builders.vm('front-0'), builders.vm('front-1'))


def test_a_live_vm_of_an_older_build_closes_the_gate():
    old = builders.vm('front-1', features=frozenset())
    with pytest.raises(errors.FeatureMissing) as raised:
        _require(builders.vm('front-0'), old)
    assert raised.value.vm_ids == ('front-1',)
    assert raised.value.status == 503


def test_a_silent_vm_of_an_older_build_counts_if_it_holds_the_log():
    old = builders.vm('core-1', features=frozenset(), last_seen_at=900.0)
    _require(old)
    with pytest.raises(errors.FeatureMissing):
        _require(old, members={'core-1'})


def test_a_descriptor_carries_the_features():
    vm = builders.vm(last_seen_at=0.0)
    assert directories.vm_from_thrift(directories.vm_to_thrift(vm)) == vm
    old = ttypes.VmDescriptor('a', 'bole', 'a:1', '', 1, False, True, '')
    assert directories.vm_from_thrift(old).features == frozenset()


def test_features_that_an_old_aggregator_has_dropped_are_added_later():
    directory = directories.Directory(builders.vm('core-0'), ())
    without = builders.vm('front-1', features=frozenset())
    directory.merge_vm(without)
    directory.merge_vm(builders.vm('front-1'))
    directory.merge_vm(without)
    assert directory.find_vm('front-1').features == {'rollouts'}
