"""Record framing with checksums.

A frame is a header (magic bytes, payload length and CRC-32) and the
payload. Either the whole frame is valid in a file or none of it is.
"""

import dataclasses
import struct
import zlib

MAGIC = b'cbwF'
_HEADER = struct.Struct('>4sII')
HEADER_BYTES = _HEADER.size
# Bound on the bytes that the search for a frame after an invalid one
# compares with checksums, as a multiple of the file's size.
SEARCH_FACTOR = 256


@dataclasses.dataclass(frozen=True)
class Scan:
    """Result of reading a file of frames up to the first invalid one.

    Attributes:
        payloads: payloads of the valid frames, in order.
        valid_bytes: bytes from the start of the file to the end of these
            frames.
        damaged_at: offset of an invalid frame with a valid one somewhere
            after it, or with more in it that looks like one than is checked;
            or None.
    """

    payloads: tuple[bytes, ...]
    valid_bytes: int
    damaged_at: int | None


def pack_frame(payload):
    """Return the frame of a payload."""
    return _HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


def scan_frames(data):
    """Return the ``Scan`` of a file's content.

    Each frame is written with one call and synced before the next one,
    so a crash can leave only the last frame incomplete (a torn write).
    An invalid frame with a valid one after it means that the file is
    damaged.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _frame_at(data, offset)
        if payload is None:
            damaged = _may_have_frame_after(data, offset)
            return Scan(tuple(payloads), offset, offset if damaged else None)
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return Scan(tuple(payloads), offset, None)


def _frame_at(data, offset):
    """Return the payload of the valid frame at an offset, or None."""
    length = _length_at(data, offset)
    if length is None:
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + length]
    _, _, checksum = _HEADER.unpack_from(data, offset)
    return payload if zlib.crc32(payload) == checksum else None


def _length_at(data, offset):
    """Return the length of the payload that a header announces, or None.

    None stands for no header, and for a payload that is not there.
    """
    if offset + HEADER_BYTES > len(data):
        return None
    magic, length, _ = _HEADER.unpack_from(data, offset)
    # A write that is torn behind the magic bytes reads as zeros, the length
    # and the checksum of an empty payload. No payload is empty.
    if magic != MAGIC or not length:
        return None
    # Without this check, each magic number in a torn payload would have the
    # rest of the file copied.
    if offset + HEADER_BYTES + length > len(data):
        return None
    return length


def _may_have_frame_after(data, offset):
    """Tell whether a valid frame is found, or the search reaches its bound.

    A payload may hold any number of headers, each of which announces all
    that follows it.
    """
    bytes_left = SEARCH_FACTOR * len(data)
    candidate = data.find(MAGIC, offset + 1)
    while candidate != -1:
        bytes_left -= _length_at(data, candidate) or 0
        if bytes_left < 0 or _frame_at(data, candidate) is not None:
            return True
        candidate = data.find(MAGIC, candidate + 1)
    return False
