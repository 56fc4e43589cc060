"""Tests of the memory of answers whose callers read slowly."""

import types

from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.relay import whole_answer

FREE = buffer_budget.FREE_BYTES
ANSWER_BYTES = 10 * whole_answer.BLOCK_BYTES


class Caller:
    """A caller, who notes what the budget holds at each write.

    Attributes:
        method: HTTP method.
        peer: address and port.
        used_bytes: what the budget held as each part was written.
        body: the bytes that it has got.
    """

    method = 'POST'
    peer = ''

    def __init__(self, budget):
        self.used_bytes = []
        self.body = b''
        self._budget = budget

    def start_stream(self, status, reason, headers):
        """Take the head of the answer."""

    def close_after_response(self):
        """Close the connection after the answer."""

    def write(self, data):
        """Take a part of the answer."""
        self.used_bytes.append(self._budget.used_bytes)
        self.body += data


class Reader:
    """The reader of an answer of a declared length."""

    declared_length = ANSWER_BYTES

    def __init__(self):
        self._left = ANSWER_BYTES

    @property
    def has_ended(self):
        """Whether there is nothing more to read."""
        return not self._left

    def read(self, timeout):
        """Return the next part."""
        part = min(self._left, whole_answer.BLOCK_BYTES)
        self._left -= part
        return bytes(part)


def _forward(total_bytes):
    budget = buffer_budget.BufferBudget(total_bytes)
    caller = Caller(budget)
    answer = whole_answer.WholeAnswer(caller, 200, {}, budget)
    answer.forward(Reader(), lambda: 1.0, lambda: None)
    assert caller.body == bytes(ANSWER_BYTES)
    assert budget.used_bytes == 0
    return types.SimpleNamespace(
        used_bytes=caller.used_bytes, is_passed_on=answer.is_passed_on
    )


# Callers that read slowly held all memory for messages until their answers
# were sent, and large requests of others were refused.
def test_an_answer_gives_its_memory_back_as_it_is_sent():
    forwarded = _forward(2 * ANSWER_BYTES)
    assert not forwarded.is_passed_on
    used_bytes = forwarded.used_bytes
    assert used_bytes[0] == ANSWER_BYTES - FREE
    assert used_bytes == sorted(used_bytes, reverse=True)
    assert used_bytes[-1] == 0


def test_an_answer_that_is_passed_on_gives_its_memory_back_as_it_is_sent():
    forwarded = _forward(4 * whole_answer.BLOCK_BYTES)
    assert forwarded.is_passed_on
    used_bytes = forwarded.used_bytes
    assert used_bytes[0] > 0
    assert used_bytes == sorted(used_bytes, reverse=True)
    assert used_bytes[-1] == 0
