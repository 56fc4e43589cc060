"""A program that keeps a large answer until it fails, and tells its memory.

It prints ``Figures`` as JSON. The error that ends the answer is kept.
"""

import dataclasses
import json
import os
import pathlib

from carobwood import errors
from carobwood_daemon.limits import allocator
from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.relay import whole_answer

ANSWER_BYTES = 24 * 1024 * 1024
PART_BYTES = 8 * 1024
# Other objects of the thread, which are made between the blocks and stay. They
# are in the heap of the C library, since Python's own has none of this size.
OTHER_BYTES = 2048
OTHERS_BYTES = ANSWER_BYTES // whole_answer.BLOCK_BYTES * OTHER_BYTES


@dataclasses.dataclass(frozen=True)
class Figures:
    """Bytes of memory.

    Attributes:
        before: resident bytes before the answer.
        with_answer: resident bytes with all that has come of it.
        after: resident bytes once it has failed.
        counted_after: what the budget has given to it then.
    """

    before: int
    with_answer: int
    after: int
    counted_after: int


class _Reader:
    """Reads parts of a body until the endpoint falls silent."""

    declared_length = None
    has_ended = False

    def __init__(self):
        self.resident_bytes = 0
        self.others = []
        self._left = ANSWER_BYTES

    def read(self, timeout):
        """Return the next part."""
        if not self._left:
            self.resident_bytes = _resident_bytes()
            raise errors.EndpointTimeout('no further part came in time')
        self._left -= PART_BYTES
        if self._left % whole_answer.BLOCK_BYTES == 0:
            self.others.append(bytes(OTHER_BYTES))
        return bytes(PART_BYTES)


def _resident_bytes():
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')


def main():
    """Print the figures."""
    allocator.return_large_blocks()
    budget = buffer_budget.BufferBudget(2 * ANSWER_BYTES)
    answer = whole_answer.WholeAnswer(None, 200, {}, budget)
    reader = _Reader()
    before = _resident_bytes()
    kept_error = None
    try:
        answer.forward(reader, lambda: 1.0, lambda: None)
    except errors.EndpointTimeout as error:
        kept_error = error
    figures = Figures(
        before, reader.resident_bytes, _resident_bytes(), budget.used_bytes
    )
    assert kept_error.__traceback__ is not None
    print(json.dumps(dataclasses.asdict(figures)))


if __name__ == '__main__':
    main()
