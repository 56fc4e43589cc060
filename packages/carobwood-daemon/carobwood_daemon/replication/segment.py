"""A segment file of the replicated log that is open for appending."""

import os

from carobwood import errors
from carobwood import events

from . import frames


class Segment:
    """Appends frames to a file, each one synced.

    A write that fails may leave part of a frame, and a full disk may
    refuse to truncate it. Nothing is appended until the part is gone:
    frames behind it could not be read at the next start.

    Attributes:
        path: path of the file.
        synced_bytes: size of the whole frames, all of them synced.
    """

    def __init__(self, path):
        """Open the file, and create it if it is missing.

        It may hold only whole frames that are synced.

        Raises:
            OSError: the file could not be opened.
        """
        self.path = path
        self._file = open(path, 'ab', buffering=0)
        self.synced_bytes = os.path.getsize(path)
        self._has_partial_frame = False
        self._is_failing = False

    def append(self, payload):
        """Append a frame and sync it.

        Args:
            payload: content of the frame.

        Raises:
            DiskWriteFailed: the frame is not stored, and what is left of
                it will be removed before the next one.
        """
        try:
            self._append_frame(frames.pack_frame(payload))
        except errors.DiskWriteFailed as error:
            # A leader repeats its request ten times a second.
            if not self._is_failing:
                events.emit(events.DISK_FAILED, error=error.detail)
            self._is_failing = True
            raise
        self._is_failing = False

    def remove_partial_frame(self):
        """Truncate what a failed write has left, if it has left anything.

        The new length is synced, or a loss of power could bring the part
        back when another segment follows this one.

        Raises:
            DiskWriteFailed: the file system reported an error.
        """
        if not self._has_partial_frame:
            return
        try:
            os.ftruncate(self._file.fileno(), self.synced_bytes)
            os.fdatasync(self._file.fileno())
        except (OSError, ValueError) as error:
            raise errors.DiskWriteFailed(f'{self.path}: {error}') from error
        self._has_partial_frame = False

    def close(self):
        """Close the file."""
        self._file.close()

    def _append_frame(self, frame):
        self.remove_partial_frame()
        self._has_partial_frame = True
        try:
            written = self._file.write(frame)
            if written != len(frame):
                raise OSError(f'wrote {written} of {len(frame)} bytes')
            os.fdatasync(self._file.fileno())
        except (OSError, ValueError) as error:
            detail = f'{self.path}: {error}{self._remove_rest()}'
            raise errors.DiskWriteFailed(detail) from error
        self._has_partial_frame = False
        self.synced_bytes += len(frame)

    def _remove_rest(self):
        """Try to remove a partial frame; return what refused it, as text."""
        try:
            self.remove_partial_frame()
        except errors.DiskWriteFailed as error:
            return f', and a part of the frame remains: {error.detail}'
        return ''
