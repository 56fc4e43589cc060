"""Tests of the contact's age over restarts."""

from carobwood_daemon.membership import contact_keeper
from carobwood_daemon.membership import saving_keeper
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import state_store
import pytest


def _keeper(folder):
    store = state_store.StateStore()
    return store, contact_keeper.ContactKeeper(folder, store)


def test_the_age_goes_on_after_a_restart(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    store, keeper = _keeper(folder)
    store.note_contact(100.0)
    keeper.save()
    restarted, keeper = _keeper(folder)
    keeper.load()
    expected = 100.0 + saving_keeper.SAVE_PERIOD
    assert restarted.contact_age() == pytest.approx(expected, abs=2.0)
    folder.close()


def test_an_empty_folder_and_no_contact_tell_nothing(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    store, keeper = _keeper(folder)
    keeper.save()
    keeper.load()
    assert store.contact_age() == float('inf')
    folder.close()
