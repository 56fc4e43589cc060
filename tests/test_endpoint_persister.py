"""Tests that the known endpoints are persisted over restarts."""

from carobwood import errors
import relay_builders as builders

from carobwood_daemon.membership import directory
from carobwood_daemon.membership import endpoint_persister
from carobwood_daemon.replication import data_folder

OWN = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 1, True)


def _directory_and_task(folder):
    known_fleet = directory.Directory(OWN, ())
    return known_fleet, endpoint_persister.EndpointPersister(
        folder, known_fleet
    )


def test_endpoints_are_known_again_after_a_restart(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    known_fleet, task = _directory_and_task(folder)
    known_fleet.merge_endpoint(
        builders.endpoint('engine-1', weights_version='3')
    )
    known_fleet.merge_endpoint(builders.endpoint('engine-2', leaving=True))
    task.save()
    restarted, task = _directory_and_task(folder)
    task.load()
    found = {endpoint.id: endpoint for endpoint in restarted.endpoints()}
    assert found['engine-1'].weights_version == '3'
    assert found['engine-2'].leaving
    folder.close()


def test_an_unchanged_list_is_not_written_again(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    known_fleet, task = _directory_and_task(folder)
    known_fleet.merge_endpoint(builders.endpoint('engine-1'))
    assert task.encode() is not None
    known_fleet.merge_endpoint(builders.endpoint('engine-1', sequence=2))
    assert task.encode() is None
    folder.close()


def test_new_weights_and_addresses_are_written(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    known_fleet, task = _directory_and_task(folder)
    known_fleet.merge_endpoint(
        builders.endpoint('engine-1', weights_version='1')
    )
    task.save()
    for sequence, changes in (
        (2, {'weights_version': '2'}),
        (3, {'weights_version': '2', 'address': '10.0.0.9:1'}),
    ):
        known_fleet.merge_endpoint(
            builders.endpoint('engine-1', sequence=sequence, **changes)
        )
        task.save()
        restarted, reader = _directory_and_task(folder)
        reader.load()
        [found] = restarted.endpoints()
        assert found.weights_version == changes['weights_version']
        assert found.address == changes.get('address', found.address)
    folder.close()


def test_endpoints_that_a_full_disk_refused_are_written_later(
    tmp_path, monkeypatch
):
    folder = data_folder.DataFolder(tmp_path)
    known_fleet, task = _directory_and_task(folder)
    known_fleet.merge_endpoint(builders.endpoint('engine-1'))

    def refuse(name, payload):
        raise errors.DiskWriteFailed('the disk is full')

    with monkeypatch.context() as patch:
        patch.setattr(folder, 'write', refuse)
        assert not task.save()
    assert task.save()
    restarted, reader = _directory_and_task(folder)
    reader.load()
    assert [endpoint.id for endpoint in restarted.endpoints()] == ['engine-1']
    folder.close()
