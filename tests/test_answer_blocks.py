"""Tests of the blocks in which an answer is kept."""

import random

from carobwood_daemon.relay import answer_blocks
import pytest

SEED = 1
PART_COUNT = 200


def _parts():
    """Return parts of many sizes, empty and larger than a block among them."""
    chosen = random.Random(SEED)
    sizes = [chosen.randrange(20_000) for _ in range(PART_COUNT)]
    sizes += [0, 3 * answer_blocks.BLOCK_BYTES + 1, 1]
    return [chosen.randbytes(size) for size in sizes]


def _refuse(*arguments, **options):
    raise OSError('the process has too many mappings')


# Blocks of an answer that were mixed up would be a wrong answer.
@pytest.mark.parametrize('has_mappings', [True, False])
def test_blocks_hold_the_bytes_in_their_order(monkeypatch, has_mappings):
    if not has_mappings:
        monkeypatch.setattr(answer_blocks.mmap, 'mmap', _refuse)
    parts = _parts()
    blocks = answer_blocks.AnswerBlocks()
    for part in parts:
        blocks.add(part)
    taken = []
    while blocks:
        taken.append(bytes(blocks.pop()))
    assert b''.join(taken) == b''.join(parts)
    full = [len(block) for block in taken[:-1]]
    assert full == [answer_blocks.BLOCK_BYTES] * len(full)
