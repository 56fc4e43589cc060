"""Tests of the fair queues before busy engines."""

import concurrent.futures

from carobwood import errors
from carobwood_daemon.membership import directory
from carobwood_daemon.routing import admission
from carobwood_daemon.routing import loads
import fleet as fleets
import pytest

ENGINES = [
    directory.Endpoint(
        f'engine-{n}', 1, 1, '', 'bole', 'engines', 'production', '1'
    )
    for n in range(2)
]
FULL = admission.WINDOW_TOKENS
FAR = 1e9


class Queue:
    """An admission whose first engine is busy until ``work`` is called."""

    def __init__(self):
        self.loads = loads.Loads()
        self.admission = admission.Admission(self.loads, lambda: 0.0)
        self.order = []
        self._pool = concurrent.futures.ThreadPoolExecutor(64)
        self.loads.start_prefill(ENGINES[0], FULL)

    def send(self, name, weight=1.0, priority=5, due_at=FAR, refuse=None):
        """Line a request up; returns when it waits or has ended."""
        turn = admission.Turn(name, weight, priority, due_at)
        asked = []

        def wish():
            if asked and refuse:
                raise refuse
            asked.append(1)
            return admission.Wish(ENGINES[0], FULL, 0.0, 0.001, 256)

        before = self.admission.waiting
        future = self._pool.submit(
            self.admission.admit, turn, wish, lambda _: self._enter(name)
        )
        fleets.wait_until(
            lambda: self.admission.waiting > before or future.done(), name
        )
        return future

    def work(self):
        """Let the engine finish what it has, again and again."""
        self.loads.end_prefill(ENGINES[0], FULL)

    def _enter(self, name):
        self.loads.start_prefill(ENGINES[0], FULL)
        self.order.append(name)
        return name

    def drain(self, futures):
        """Finish prefills until all requests were let through."""
        for count in range(1, len(futures) + 1):
            self.work()
            fleets.wait_until(lambda: len(self.order) >= count, 'a turn')
        return self.order


def test_a_flood_of_one_customer_does_not_hold_up_another():
    queue = Queue()
    futures = [queue.send('greedy') for _ in range(6)]
    futures.append(queue.send('modest'))
    assert 'modest' in queue.drain(futures)[:2]


def test_customers_are_served_by_their_rates():
    queue = Queue()
    futures = [queue.send('large', weight=3.0) for _ in range(6)]
    futures += [queue.send('small', weight=1.0) for _ in range(6)]
    first = queue.drain(futures)[:8]
    assert first.count('large') == 6 and first.count('small') == 2


def test_a_higher_priority_goes_first():
    queue = Queue()
    futures = [queue.send('menu', priority=3) for _ in range(3)]
    futures.append(queue.send('portrait', priority=7))
    assert queue.drain(futures)[0] == 'portrait'


def test_a_busy_engine_does_not_hold_up_a_free_one():
    queue = Queue()
    queue.send('waiting', due_at=FAR)
    turn = admission.Turn('other', 1.0, 5, FAR)
    wish = admission.Wish(ENGINES[1], FULL, 0.0, 0.001, 256)
    assert queue.admission.admit(turn, lambda: wish, lambda e: e.id) == (
        'engine-1'
    )
    queue.work()


def test_what_cannot_start_in_time_is_refused_at_once():
    queue = Queue()
    waiting = [queue.send('c') for _ in range(3)]
    late = queue.send('c', due_at=3 * FULL * 0.001 - 1.0)
    with pytest.raises(errors.DeadlineUnreachable) as raised:
        late.result()
    assert raised.value.outcome is errors.Outcome.NOT_RUN
    assert raised.value.retry_after == pytest.approx(1.0)
    queue.drain(waiting)


def test_requests_behind_do_not_count_against_a_deadline():
    queue = Queue()
    early = queue.send('c', due_at=1.0)
    waiting = [early] + [queue.send('c') for _ in range(5)]
    assert queue.drain(waiting)
    assert early.result() == 'c'


def test_a_refusal_while_waiting_leaves_nothing_behind():
    queue = Queue()
    queue.admission = admission.Admission(queue.loads)
    refusal = errors.KeyRefused('withdrawn')
    future = queue.send('c', refuse=refusal)
    with pytest.raises(errors.KeyRefused):
        future.result()
    assert queue.admission.waiting == 0
    assert queue.loads.waiting_tokens(ENGINES[0]) == 0


def test_the_queue_is_bounded(monkeypatch):
    monkeypatch.setattr(admission, 'MAX_WAITING', 2)
    queue = Queue()
    waiting = [queue.send('c') for _ in range(2)]
    with pytest.raises(errors.Saturated):
        queue.send('c').result()
    queue.drain(waiting)
