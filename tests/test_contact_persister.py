"""Tests that the age of the last contact with a leader is persisted."""

from carobwood_daemon.membership import contact_persister
from carobwood_daemon.membership import persister
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import state_store
import pytest


def _store_and_task(folder):
    store = state_store.StateStore()
    return store, contact_persister.ContactPersister(folder, store)


def test_the_age_increases_over_a_restart(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    store, task = _store_and_task(folder)
    store.record_contact(100.0)
    task.save()
    restarted, task = _store_and_task(folder)
    task.load()
    expected = 100.0 + persister.SAVE_PERIOD_SECONDS
    assert restarted.contact_age() == pytest.approx(expected, abs=2.0)
    folder.close()


def test_without_a_contact_nothing_is_saved_or_restored(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    store, task = _store_and_task(folder)
    task.save()
    task.load()
    assert store.contact_age() == float('inf')
    folder.close()
