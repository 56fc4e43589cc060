"""Tests of the bound on the bytes of messages that a VM keeps in memory."""

import threading

import pytest

from carobwood import errors
from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.observe import metrics

FREE = buffer_budget.FREE_BYTES
MEGABYTE = 1024 * 1024


def test_large_messages_share_one_budget():
    budget = buffer_budget.BufferBudget(MEGABYTE)
    first, second = budget.reserve('body'), budget.reserve('body')
    first.extend(FREE + 700_000)
    second.extend(FREE)
    with pytest.raises(errors.BuffersFull):
        second.extend(700_000)
    first.release()
    second.extend(700_000)
    assert budget.used_bytes == 700_000


def test_small_messages_are_read_while_large_ones_fill_the_budget():
    budget = buffer_budget.BufferBudget(MEGABYTE)
    budget.reserve('body').extend(FREE + MEGABYTE)
    for _ in range(200):
        budget.reserve('body').extend(FREE)
    assert budget.used_bytes == MEGABYTE


def test_a_refused_part_leaves_the_reservation_as_it_was():
    budget = buffer_budget.BufferBudget(MEGABYTE)
    with budget.reserve('body') as reservation:
        reservation.extend(FREE + 1000)
        assert not reservation.try_extend(2 * MEGABYTE)
        assert budget.used_bytes == 1000
        assert reservation.try_extend(MEGABYTE - 1000)
    assert budget.used_bytes == 0


def test_a_reservation_gives_back_what_it_took_once():
    budget = buffer_budget.BufferBudget(MEGABYTE)
    reservation = budget.reserve('body')
    reservation.extend(FREE + 1000)
    reservation.release()
    reservation.release()
    assert budget.used_bytes == 0


def test_readers_on_many_threads_keep_to_the_budget():
    budget = buffer_budget.BufferBudget(MEGABYTE)
    taken = []

    def read():
        reservation = budget.reserve('body', free_bytes=0)
        for _ in range(1000):
            if reservation.try_extend(1000):
                taken.append(1000)

    threads = [threading.Thread(target=read) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sum(taken) == budget.used_bytes
    assert MEGABYTE - 1000 < budget.used_bytes <= MEGABYTE


def test_a_refusal_is_counted_for_its_reader():
    counted = metrics.PrometheusMetrics()
    budget = buffer_budget.BufferBudget(MEGABYTE, counted)
    budget.reserve('answer').extend(FREE + MEGABYTE)
    assert not budget.reserve('answer').try_extend(FREE + 1)
    assert 'name="buffers_full.answer"} 1.0' in counted.text().decode()


@pytest.mark.parametrize('megabytes', (88, 128, 150, 296))
def test_the_budget_leaves_room_for_the_process_and_one_copy(megabytes):
    limit = megabytes * MEGABYTE
    budget = buffer_budget.budget_bytes(limit)
    assert budget >= buffer_budget.MIN_BUDGET_BYTES
    assert buffer_budget.BASE_MEMORY_BYTES + 2 * budget <= limit


def test_a_message_gives_back_the_parts_that_it_no_longer_keeps():
    budget = buffer_budget.BufferBudget(MEGABYTE)
    reservation = budget.reserve('answer')
    reservation.extend(FREE + 1000)
    reservation.reduce(400)
    assert budget.used_bytes == 600
    reservation.reduce(FREE)
    assert budget.used_bytes == 0
    reservation.reduce(600)
    reservation.release()
    assert budget.used_bytes == 0
