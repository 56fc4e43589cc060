"""Tests of writes to a data folder that is closed meanwhile, or was before."""

import os
import threading

import pytest

from carobwood import errors
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import stable_store

WAIT_SECONDS = 20.0
FORMER = stable_store.HardState(5, '')
GIVEN = stable_store.HardState(6, 'vm2')


# A replica forgot a vote: the process before it stored its term late.
def test_a_term_of_a_process_that_has_stopped_replaces_no_vote(tmp_path):
    former = data_folder.DataFolder(tmp_path)
    former.close()
    folder = data_folder.DataFolder(tmp_path)
    stable_store.DiskStableStore(folder).store_hard_state(GIVEN)
    with pytest.raises(errors.DiskWriteFailed):
        stable_store.DiskStableStore(former).store_hard_state(FORMER)
    store = stable_store.DiskStableStore(folder)
    assert store.load_hard_state() == GIVEN
    folder.close()


def test_a_folder_is_unlocked_once_the_writes_in_progress_have_ended(
    tmp_path, monkeypatch
):
    is_syncing = threading.Event()
    released = threading.Event()
    fsync = os.fsync

    def wait_and_sync(descriptor):
        is_syncing.set()
        assert released.wait(WAIT_SECONDS)
        fsync(descriptor)

    folder = data_folder.DataFolder(tmp_path)
    writer = threading.Thread(target=folder.write, args=('ballot', b'vote'))
    with monkeypatch.context() as patch:
        patch.setattr(os, 'fsync', wait_and_sync)
        writer.start()
        assert is_syncing.wait(WAIT_SECONDS)
        folder.close()
        with pytest.raises(errors.DataFolderInUse):
            data_folder.DataFolder(tmp_path)
        released.set()
        writer.join(WAIT_SECONDS)
    reopened = data_folder.DataFolder(tmp_path)
    assert reopened.read('ballot') == b'vote'
    reopened.close()
