"""The folder that holds the durable state of a VM."""

import contextlib
import fcntl
import os
import pathlib
import secrets
import threading

import msgspec

from carobwood import errors
from carobwood import events

from . import frames
from . import stored_values

_IDENTITY_FILE = 'identity'
_LOCK_FILE = 'lock'
_TEMPORARY_SUFFIX = '.tmp'
_ID_BYTES = 8


class Identity(msgspec.Struct, frozen=True):
    """Identity of the replica that stores its state in the folder.

    Attributes:
        replica_id: id of the replica. An emptied folder gets a new one,
            because its replica has lost its votes and its log.
        fleet_id: id of the fleet that the replica belongs to, or empty
            before it joins one.
    """

    replica_id: str
    fleet_id: str = ''


class DataFolder:
    """Exclusive access to the folder, with atomic file replacement.

    Attributes:
        path: path of the folder.
        identity: the ``Identity`` stored in the folder.
    """

    def __init__(self, path):
        """Create the folder if it is missing and lock it.

        Args:
            path: path of the folder.

        Raises:
            DataFolderInUse: another process has locked the folder.
            LogDamaged: the stored identity fails its checksum or cannot be
                decoded.
            DiskWriteFailed: the folder could not be synced.
        """
        self.path = pathlib.Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self._lock_file = open(self.path / _LOCK_FILE, 'a+b')
        self._writes_lock = threading.Lock()
        self._writes_in_progress = 0
        self._is_closed = False
        self._take_lock()
        self._remove_temporary_files()
        # An earlier process may have ended between a rename and its sync;
        # what is read from the folder counts as stored.
        self._has_unsynced_names = True
        self.sync_names()
        self.identity = self._load_identity()

    def close(self):
        """Take no more writes; unlock the folder after those in progress.

        It does not wait for them: the last one that ends unlocks the folder.
        """
        with self._writes_lock:
            self._is_closed = True
            self._unlock_if_unused()

    def join_fleet(self, fleet_id):
        """Record the fleet that the replica belongs to.

        Raises:
            DiskWriteFailed: see ``adopt_identity``.
        """
        self.adopt_identity(self.identity.replica_id, fleet_id)

    def adopt_identity(self, replica_id, fleet_id):
        """Replace the random identity of a new folder by a given one.

        Raises:
            DiskWriteUncertain: the identity is the given one; nothing may
                be stored under it until the folder is synced.
            DiskWriteFailed: the identity is the same as before.
        """
        identity = Identity(replica_id, fleet_id)
        try:
            self.write(_IDENTITY_FILE, msgspec.json.encode(identity))
        except errors.DiskWriteUncertain:
            # With the identity of before, the replica might empty its log
            # and join a fleet that the next start does not know.
            self.identity = identity
            raise
        self.identity = identity

    def read(self, name):
        """Return the payload of a file, or None if there is no file.

        Raises:
            LogDamaged: the payload fails its checksum.
        """
        path = self.path / name
        if not path.exists():
            return None
        scan = frames.scan_frames(path.read_bytes())
        if len(scan.payloads) != 1:
            raise errors.LogDamaged(f'{path} fails its checksum')
        return scan.payloads[0]

    def write(self, name, payload):
        """Replace a file atomically and durably, with a checksum.

        Raises:
            DiskWriteUncertain: the next start may read the new content.
            DiskWriteFailed: the file system reported an error, or the folder
                is closed; the next start reads the old content.
        """
        try:
            with self._writing(name):
                replace_file(self.path / name, frames.pack_frame(payload))
        except errors.DiskWriteUncertain:
            self._has_unsynced_names = True
            raise

    def sync_names(self):
        """Sync the folder if a replacement in it may not be durable yet.

        Raises:
            DiskWriteFailed: the file system reported an error.
        """
        if not self._has_unsynced_names:
            return
        # Cleared first: a file that another thread replaces during the sync
        # is left for the next call.
        self._has_unsynced_names = False
        try:
            sync_folder(self.path)
        except OSError as error:
            self._has_unsynced_names = True
            raise errors.DiskWriteFailed(f'{self.path}: {error}') from error

    @contextlib.contextmanager
    def _writing(self, name):
        """Keep the folder locked for a write.

        Raises:
            DiskWriteFailed: the folder is closed.
        """
        with self._writes_lock:
            if self._is_closed:
                raise errors.DiskWriteFailed(f'{self.path / name}: closed')
            self._writes_in_progress += 1
        try:
            yield
        finally:
            with self._writes_lock:
                self._writes_in_progress -= 1
                self._unlock_if_unused()

    def _unlock_if_unused(self):
        if self._is_closed and not self._writes_in_progress:
            self._lock_file.close()

    def _take_lock(self):
        try:
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise errors.DataFolderInUse(
                f'{self.path} is locked by another process'
            ) from error

    def _remove_temporary_files(self):
        # Left by a process that ended between a write and its rename. This
        # one holds the lock, so that one has ended.
        for path in self.path.glob(f'*{_TEMPORARY_SUFFIX}'):
            _delete_if_present(path)

    def _load_identity(self):
        payload = self.read(_IDENTITY_FILE)
        if payload is not None:
            with stored_values.decoding(self.path / _IDENTITY_FILE):
                return msgspec.json.decode(payload, type=Identity)
        identity = Identity(secrets.token_hex(_ID_BYTES))
        self.write(_IDENTITY_FILE, msgspec.json.encode(identity))
        return identity


def replace_file(path, content):
    """Replace a file atomically: write a temporary one and rename it.

    The file is synced before and the folder after the rename.

    Raises:
        DiskWriteUncertain: the file is replaced, but the folder could not
            be synced.
        DiskWriteFailed: the file system reported an error; the file is
            the same as before.
    """
    temporary = path.with_suffix(_TEMPORARY_SUFFIX)
    try:
        with open(temporary, 'wb') as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError as error:
        _delete_if_present(temporary)
        raise errors.DiskWriteFailed(f'{path}: {error}') from error
    try:
        sync_folder(path.parent)
    except OSError as error:
        raise errors.DiskWriteUncertain(f'{path}: {error}') from error


def _delete_if_present(path):
    # What was written of it takes the room that the next write needs.
    try:
        path.unlink(missing_ok=True)
    except OSError as error:
        events.emit(events.DISK_FAILED, error=str(error))


def sync_folder(path):
    """Sync a folder, so that new and renamed files in it are durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
