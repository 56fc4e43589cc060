"""Blocks of an answer that go back to the kernel once they are sent.

Load pattern: many large answers on many threads. Blocks of the C library's
heap are freed in the middle of one of its heaps, of which there is one for
each thread, and stay with the process. An answer's first block is in the heap,
since most answers are small; each further one is a mapping of its own.
"""

import collections
import mmap

# Size of the blocks, a multiple of the page size.
BLOCK_BYTES = 64 * 1024
_MAPPING_FLAGS = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS


class AnswerBlocks:
    """The bytes of an answer that are kept, in blocks."""

    def __init__(self):
        """Create an answer without bytes."""
        self._blocks = collections.deque()
        self._has_first = False

    def __bool__(self):
        return bool(self._blocks)

    def add(self, data):
        """Keep further bytes, up to ``BLOCK_BYTES`` of them as one block.

        Args:
            data: bytes-like object.
        """
        remaining = memoryview(data)
        while remaining:
            if not self._blocks or not self._blocks[-1].room:
                self._blocks.append(self._make_block())
            count = self._blocks[-1].fill(remaining)
            remaining = remaining[count:]

    def pop(self):
        """Remove the first block and return its bytes."""
        return self._blocks.popleft().take()

    def clear(self):
        """Drop all blocks."""
        self._blocks.clear()

    def _make_block(self):
        if not self._has_first:
            self._has_first = True
            return _HeapBlock()
        try:
            return _MappedBlock()
        except OSError:
            # The process has too many mappings.
            return _HeapBlock()


class _HeapBlock:
    """A block that grows with its bytes."""

    def __init__(self):
        self._content = bytearray()

    @property
    def room(self):
        """Number of bytes that still fit in."""
        return BLOCK_BYTES - len(self._content)

    def fill(self, data):
        """Keep what fits of some bytes and return the number of these."""
        count = min(len(data), self.room)
        self._content += data[:count]
        return count

    def take(self):
        """Return the bytes."""
        return self._content


class _MappedBlock:
    """A block that is a mapping."""

    def __init__(self):
        self._mapping = mmap.mmap(-1, BLOCK_BYTES, flags=_MAPPING_FLAGS)
        self._size = 0

    @property
    def room(self):
        """Number of bytes that still fit in."""
        return BLOCK_BYTES - self._size

    def fill(self, data):
        """Keep what fits of some bytes and return the number of these."""
        count = min(len(data), self.room)
        self._mapping[self._size : self._size + count] = data[:count]
        self._size += count
        return count

    def take(self):
        """Return the bytes and end the mapping."""
        content = self._mapping[: self._size]
        self._mapping.close()
        return content
