"""Tests of fair queueing for busy engines."""

import concurrent.futures

from carobwood import errors
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.routing import admission
from carobwood_daemon.routing import endpoint_loads
import fleet as fleets
import pytest

ENGINES = [
    endpoint_table.Endpoint(
        f'engine-{n}', 1, 1, '', 'bole', 'engines', 'production', '1'
    )
    for n in range(2)
]
FULL_WINDOW = admission.PREFILL_WINDOW_TOKENS
NO_DEADLINE = 1e9


class Queue:
    """An ``Admission`` whose first engine is fully loaded.

    Each call of ``finish_prefill`` completes one request on that engine.
    """

    def __init__(self):
        self.loads = endpoint_loads.EndpointLoads()
        self.admission = admission.Admission(self.loads, lambda: 0.0)
        self.order = []
        self._pool = concurrent.futures.ThreadPoolExecutor(64)
        self.loads.add_prefill_tokens(ENGINES[0], FULL_WINDOW)

    def send(
        self, name, weight=1.0, priority=5, due_at=NO_DEADLINE, refusal=None
    ):
        """Submit a request and return once it is queued or done."""
        entry = admission.FairQueueEntry(name, weight, priority, due_at)
        selections = []

        def select():
            if selections and refusal:
                raise refusal
            selections.append(1)
            return admission.EngineSelection(
                ENGINES[0], FULL_WINDOW, 0.0, 0.001, 256
            )

        before = self.admission.waiting
        future = self._pool.submit(
            self.admission.admit, entry, select, lambda _: self._register(name)
        )
        fleets.wait_until(
            lambda: self.admission.waiting > before or future.done(), name
        )
        return future

    def finish_prefill(self):
        """Complete the prefill that the first engine is busy with."""
        self.loads.remove_prefill_tokens(ENGINES[0], FULL_WINDOW)

    def _register(self, name):
        self.loads.add_prefill_tokens(ENGINES[0], FULL_WINDOW)
        self.order.append(name)
        return name

    def drain(self, futures):
        """Complete prefills until all requests are admitted."""
        for count in range(1, len(futures) + 1):
            self.finish_prefill()
            fleets.wait_until(
                lambda: len(self.order) >= count, f'admission of {count}'
            )
        return self.order


def test_many_requests_of_one_customer_do_not_delay_another():
    queue = Queue()
    futures = [queue.send('greedy') for _ in range(6)]
    futures.append(queue.send('modest'))
    assert 'modest' in queue.drain(futures)[:2]


def test_customers_are_admitted_in_proportion_to_their_rates():
    queue = Queue()
    futures = [queue.send('large', weight=3.0) for _ in range(6)]
    futures += [queue.send('small', weight=1.0) for _ in range(6)]
    first = queue.drain(futures)[:8]
    assert first.count('large') == 6 and first.count('small') == 2


def test_a_higher_priority_is_admitted_first():
    queue = Queue()
    futures = [queue.send('menu', priority=3) for _ in range(3)]
    futures.append(queue.send('portrait', priority=7))
    assert queue.drain(futures)[0] == 'portrait'


def test_a_busy_engine_does_not_delay_requests_for_an_idle_one():
    queue = Queue()
    queue.send('waiting', due_at=NO_DEADLINE)
    entry = admission.FairQueueEntry('other', 1.0, 5, NO_DEADLINE)
    selection = admission.EngineSelection(
        ENGINES[1], FULL_WINDOW, 0.0, 0.001, 256
    )
    assert queue.admission.admit(entry, lambda: selection, lambda e: e.id) == (
        'engine-1'
    )
    queue.finish_prefill()


def test_a_request_that_cannot_start_in_time_is_refused_at_once():
    queue = Queue()
    waiting = [queue.send('c') for _ in range(3)]
    late = queue.send('c', due_at=3 * FULL_WINDOW * 0.001 - 1.0)
    with pytest.raises(errors.DeadlineUnreachable) as raised:
        late.result()
    assert raised.value.outcome is errors.Outcome.NOT_RUN
    assert raised.value.retry_after == pytest.approx(1.0)
    queue.drain(waiting)


def test_later_requests_do_not_count_toward_a_deadline():
    queue = Queue()
    early = queue.send('c', due_at=1.0)
    waiting = [early] + [queue.send('c') for _ in range(5)]
    assert queue.drain(waiting)
    assert early.result() == 'c'


def test_a_request_refused_while_queued_is_removed_from_the_queue():
    queue = Queue()
    queue.admission = admission.Admission(queue.loads)
    refusal = errors.KeyRefused('withdrawn')
    future = queue.send('c', refusal=refusal)
    with pytest.raises(errors.KeyRefused):
        future.result()
    assert queue.admission.waiting == 0
    assert queue.loads.queued_tokens(ENGINES[0]) == 0


def test_the_queue_is_bounded(monkeypatch):
    monkeypatch.setattr(admission, 'MAX_QUEUED_REQUESTS', 2)
    queue = Queue()
    waiting = [queue.send('c') for _ in range(2)]
    with pytest.raises(errors.Saturated):
        queue.send('c').result()
    queue.drain(waiting)
