"""Checksummed frames, the unit of atomic writes to a file."""

import dataclasses
import struct
import zlib

MAGIC = b'cbwF'
_HEADER = struct.Struct('>4sII')
HEADER_BYTES = _HEADER.size


@dataclasses.dataclass(frozen=True)
class Scan:
    """Result of reading a file of frames.

    Attributes:
        payloads: payloads of the valid frames, in order.
        valid_bytes: length of the valid beginning of the file.
        damaged_at: offset of a damaged frame that valid frames follow,
            or None.
    """

    payloads: tuple[bytes, ...]
    valid_bytes: int
    damaged_at: int | None


def pack_frame(payload):
    """Return a frame: magic, length, CRC-32 and payload."""
    return _HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


def scan_frames(data):
    """Read the frames of a file.

    A frame is written with one write and synced before the next one, so
    only the last frame can be torn. An invalid frame with a valid frame
    behind it is damage.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _frame_at(data, offset)
        if payload is None:
            damaged = _has_frame_after(data, offset)
            return Scan(tuple(payloads), offset, offset if damaged else None)
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return Scan(tuple(payloads), offset, None)


def _frame_at(data, offset):
    if offset + HEADER_BYTES > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    if magic != MAGIC:
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + length]
    if len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _has_frame_after(data, offset):
    candidate = data.find(MAGIC, offset + 1)
    while candidate != -1:
        if _frame_at(data, candidate) is not None:
            return True
        candidate = data.find(MAGIC, candidate + 1)
    return False
