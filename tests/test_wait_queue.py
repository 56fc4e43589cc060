"""Tests of the order and the limits of the queue of waiting requests."""

import relay_builders as builders

from carobwood_daemon.relay import wait_queue


def _queue():
    clock = builders.Clock()
    return clock, wait_queue.WaitQueue(clock)


def test_requests_of_a_higher_priority_go_first():
    clock, queue = _queue()
    later = queue.enqueue('engines', 1, clock.now + 0.6, clock.now + 6)
    first = queue.enqueue('engines', 0, clock.now + 9.0, clock.now + 9)
    assert queue.is_first(first)
    assert not queue.is_first(later)


def test_requests_that_can_be_on_time_go_before_late_ones():
    clock, queue = _queue()
    late = queue.enqueue('engines', 0, clock.now + 0.5, clock.now + 9)
    clock.advance(0.6)
    on_time = queue.enqueue('engines', 1, clock.now + 0.5, clock.now + 9)
    assert queue.is_first(on_time)
    assert not queue.is_first(late)


def test_a_new_request_queues_behind_requests_of_its_priority():
    clock, queue = _queue()
    assert not queue.must_queue('engines', 1, clock.now + 1)
    queue.enqueue('engines', 1, clock.now + 0.5, clock.now + 9)
    assert queue.must_queue('engines', 1, clock.now + 1)
    assert not queue.must_queue('engines', 0, clock.now + 1)
    assert not queue.must_queue('orders', 1, clock.now + 1)


def test_a_request_is_refused_after_a_fraction_of_its_remaining_time():
    clock, queue = _queue()
    entry = queue.enqueue('engines', 1, clock.now + 0.6, clock.now + 6)
    clock.advance(6 * wait_queue.MAX_WAIT_FRACTION + 0.1)
    assert not queue.wait_for_change(entry)


def test_a_full_queue_refuses_at_once():
    clock, queue = _queue()
    for _ in range(wait_queue.MAX_WAITING):
        assert queue.enqueue('engines', 1, clock.now + 1, clock.now + 9)
    assert queue.enqueue('engines', 1, clock.now + 1, clock.now + 9) is None
    assert queue.count('engines') == wait_queue.MAX_WAITING


def test_removing_a_request_advances_the_next_one():
    clock, queue = _queue()
    first = queue.enqueue('engines', 1, clock.now + 1, clock.now + 9)
    second = queue.enqueue('engines', 1, clock.now + 2, clock.now + 9)
    queue.remove(first)
    assert queue.is_first(second)


# A request that waits for one silent endpoint kept others from the rest.
def test_a_request_apart_holds_up_no_other():
    clock, queue = _queue()
    apart = queue.enqueue(
        'engines', 0, clock.now + 0.5, clock.now + 9, is_apart=True
    )
    assert not queue.must_queue('engines', 2, clock.now + 0.6)
    other = queue.enqueue('engines', 2, clock.now + 0.6, clock.now + 9)
    assert queue.is_first(apart)
    assert queue.is_first(other)


def test_a_request_apart_goes_after_those_of_a_higher_rank():
    clock, queue = _queue()
    other = queue.enqueue('engines', 0, clock.now + 0.5, clock.now + 9)
    apart = queue.enqueue(
        'engines', 1, clock.now + 0.5, clock.now + 9, is_apart=True
    )
    assert queue.is_first(other)
    assert not queue.is_first(apart)


# Requests that had come back after a refusal kept urgent ones out.
def test_the_last_of_a_full_queue_gives_way_to_an_urgent_request():
    clock, queue = _queue()
    entries = [
        queue.enqueue(
            'engines', 1, clock.now + 1, clock.now + 9, gives_way=True
        )
        for _ in range(wait_queue.MAX_WAITING)
    ]
    urgent = queue.enqueue(
        'engines', 0, clock.now + 1, clock.now + 9, gives_way=True
    )
    assert queue.is_first(urgent)
    assert queue.count('engines') == wait_queue.MAX_WAITING
    assert not queue.wait_for_change(entries[-1])
    # One that goes after all others displaces none.
    last = queue.enqueue(
        'engines', 1, clock.now + 2, clock.now + 9, gives_way=True
    )
    assert last is None


def test_a_request_that_gave_way_ends_after_all_others():
    clock, queue = _queue()
    entries = [
        queue.enqueue(
            'engines', 1, clock.now + 1, clock.now + 9, gives_way=True
        )
        for _ in range(wait_queue.MAX_WAITING)
    ]
    urgent = queue.enqueue(
        'engines', 0, clock.now + 1, clock.now + 9, gives_way=True
    )
    for entry in [urgent, *entries[:-1]]:
        queue.remove(entry)
    assert not queue.is_first(entries[-1])
    assert not queue.wait_for_change(entries[-1])
    queue.remove(entries[-1])


def test_a_request_that_has_a_response_never_gives_way():
    clock, queue = _queue()
    for _ in range(wait_queue.MAX_WAITING):
        assert queue.enqueue('engines', 1, clock.now + 1, clock.now + 9)
    urgent = queue.enqueue(
        'engines', 0, clock.now + 1, clock.now + 9, gives_way=True
    )
    assert urgent is None
