"""Tests of the VM's own calls to engines whose answers have no end."""

import contextlib
import http.server
import itertools
import threading
import tracemalloc
import types

import endless_endpoint
import fake_endpoint
import fleet as fleets
import pytest
import relay_builders as builders

from carobwood import errors
from carobwood import events
from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.membership import cache_watchers
from carobwood_daemon.membership import probe
from carobwood_daemon.orders import order_sender
from carobwood_daemon.orders import weights_rollout
from carobwood_daemon.relay import cache_event_poller
from carobwood_daemon.relay import engine_weights
from carobwood_daemon.relay import messages
from carobwood_platform import decoding
from carobwood_platform import dialect

CALL_SECONDS = 0.5
WAIT_SECONDS = 20.0
BUDGET_BYTES = 64 * endless_endpoint.MEGABYTE
# Kinds and speeds of all answers without end.
ANSWERS = tuple(
    itertools.product(endless_endpoint.ANSWERS_BY_KIND, (False, True))
)


class Budget(buffer_budget.BufferBudget):
    """A budget that notes how much of it was taken at most."""

    def __init__(self):
        super().__init__(BUDGET_BYTES)
        self.peak_bytes = 0

    def take(self, size):
        """See ``BufferBudget``."""
        is_left = super().take(size)
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        return is_left


class EmittedEvents:
    """The events that were emitted, in their order."""

    def __init__(self):
        self._fields_by_event = []

    def emit(self, event, **fields):
        """See ``events.emit``."""
        self._fields_by_event.append((event, fields))

    def fields(self, event):
        """Return the fields of the events of a kind."""
        return [f for kind, f in self._fields_by_event if kind is event]


class StopAfterWait:
    """Stops a thread at its first pause.

    Attributes:
        waits: seconds of the pauses.
    """

    def __init__(self):
        self.waits = []

    def is_set(self):
        """Return whether there was a pause."""
        return bool(self.waits)

    def wait(self, seconds):
        """Note a pause."""
        self.waits.append(seconds)


@pytest.fixture
def emitted(monkeypatch):
    """Return the ``EmittedEvents`` of the test."""
    created = EmittedEvents()
    monkeypatch.setattr(events, 'emit', created.emit)
    return created


def _poll(platform, address):
    platform.fetch_cache_events(address, 0, 0.1, CALL_SECONDS)


def _read_report(platform, address):
    platform.read_engine_report(address, CALL_SECONDS)


def _send_order(platform, address):
    order = messages.WeightsOrder(
        'engine-1',
        address,
        builders.MODEL,
        2,
        'core-0',
        1,
        0,
        messages.RunningRequestPolicy.CONTINUE,
    )
    platform.send_weights_order(order, CALL_SECONDS)


def _results(call):
    """Return what each answer without end makes of a call.

    Args:
        call: function of an address.

    Returns:
        By kind and whether it is slow, the result or exception; answers at
        which the call does not end are missing.
    """
    results = {}
    ended = threading.Semaphore(0)

    def run(key, address):
        try:
            results[key] = call(address)
        except Exception as error:
            results[key] = error
        ended.release()

    endpoints = [
        (
            (kind, is_slow),
            endless_endpoint.EndlessEndpoint(
                endless_endpoint.ANSWERS_BY_KIND[kind], is_slow
            ),
        )
        for kind, is_slow in ANSWERS
    ]
    for key, endpoint in endpoints:
        threading.Thread(
            target=run, args=(key, endpoint.address), daemon=True
        ).start()
    try:
        for _ in ANSWERS:
            if not ended.acquire(timeout=WAIT_SECONDS):
                break
        return dict(results)
    finally:
        for _, endpoint in endpoints:
            endpoint.stop()


@pytest.mark.parametrize(
    ('call', 'limit_name'),
    [
        (_poll, 'MAX_CACHE_EVENTS_BYTES'),
        (_read_report, 'MAX_REPORT_BYTES'),
        (_send_order, 'MAX_ORDER_ANSWER_BYTES'),
    ],
)
def test_a_call_of_the_vm_ends_although_the_answer_does_not(call, limit_name):
    budgets = []

    def call_once(address):
        budget = Budget()
        budgets.append(budget)
        call(dialect.PlatformDialect(budget), address)

    results = _results(call_once)
    assert set(results) == set(ANSWERS)
    for error in results.values():
        assert isinstance(error, errors.EngineCallFailed), results
    limit = getattr(dialect, limit_name)
    assert max(budget.peak_bytes for budget in budgets) <= limit
    assert {budget.used_bytes for budget in budgets} == {0}


@pytest.mark.parametrize(
    ('kind', 'is_slow', 'bound'),
    [
        ('until-close', True, 'deadline'),
        ('interim', True, 'deadline'),
        ('length', False, 'size'),
        ('until-close', False, 'size'),
    ],
)
def test_the_error_of_a_call_names_the_bound_that_was_passed(
    kind, is_slow, bound
):
    answer = endless_endpoint.ANSWERS_BY_KIND[kind]
    platform = dialect.PlatformDialect()
    with endless_endpoint.EndlessEndpoint(answer, is_slow) as endpoint:
        with pytest.raises(errors.CallOutOfBounds) as raised:
            _read_report(platform, endpoint.address)
    assert raised.value.bound == bound


def test_a_call_fails_if_the_vm_has_no_memory_left_for_its_answer():
    budget = buffer_budget.BufferBudget(endless_endpoint.MEGABYTE)
    platform = dialect.PlatformDialect(budget)
    answer = endless_endpoint.ANSWERS_BY_KIND['until-close']
    with endless_endpoint.EndlessEndpoint(answer) as endpoint:
        with pytest.raises(errors.CallOutOfBounds) as raised:
            _poll(platform, endpoint.address)
    assert raised.value.bound == 'memory'
    assert budget.used_bytes == 0


class ReportServer(http.server.ThreadingHTTPServer):
    """Answers each call with a report after an interim response.

    Attributes:
        surplus: bytes that follow the answer.
        ports: ports of the callers of all calls.
        address: ``host:port`` that it listens on.
    """

    daemon_threads = True

    def __init__(self, surplus):
        super().__init__(('127.0.0.1', 0), ReportHandler)
        self.surplus = surplus
        self.ports = []
        self.address = '127.0.0.1:%d' % self.server_address[1]
        threading.Thread(target=self.serve_forever, daemon=True).start()


class ReportHandler(http.server.BaseHTTPRequestHandler):
    """Handles one connection to a ``ReportServer``."""

    protocol_version = 'HTTP/1.1'

    def log_message(self, *arguments):
        """Log nothing."""

    def do_GET(self):  # noqa: N802 (named by http.server)
        """Answer with a report."""
        self.server.ports.append(self.client_address[1])
        body = b'{"models": [], "busy": false, "seq_no": 0}'
        self.wfile.write(
            b'HTTP/1.1 103 Early Hints\r\n\r\n'
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s'
            % (len(body), body, self.server.surplus)
        )


@pytest.mark.parametrize(
    ('surplus', 'connection_count'), [(b'', 1), (b'surplus', 3)]
)
def test_only_sound_connections_serve_further_calls(surplus, connection_count):
    platform = dialect.PlatformDialect()
    with ReportServer(surplus) as server:
        for _ in range(3):
            _read_report(platform, server.address)
        assert len(server.ports) == 3
        assert len(set(server.ports)) == connection_count
        platform.close()
        server.shutdown()


@pytest.mark.parametrize('kind', ['length', 'chunk', 'until-close'])
def test_a_poll_of_an_endless_answer_is_retried_after_a_pause(emitted, kind):
    reasons = []
    listener = types.SimpleNamespace(
        set_availability=lambda is_up, reason: reasons.append(reason)
    )
    stopped = StopAfterWait()
    answer = endless_endpoint.ANSWERS_BY_KIND[kind]
    with endless_endpoint.EndlessEndpoint(answer) as endpoint:
        poller = cache_event_poller.CacheEventPoller(
            endpoint.address, dialect.PlatformDialect(), listener
        )
        poller._run(stopped)
    assert stopped.waits == [cache_event_poller.RETRY_SECONDS]
    assert emitted.fields(events.THREAD_FAILED) == []
    [reason] = reasons
    assert f'exceeds {dialect.MAX_CACHE_EVENTS_BYTES} bytes' in reason


class RolloutHarness:
    """A rollout to engines, on a VM that leads and holds the lock.

    Attributes:
        weights: the ``EngineWeights``.
        rollout: the ``WeightsRollout``.
    """

    def __init__(self, addresses_by_id, emitted):
        self._emitted = emitted
        model = builders.MODEL
        engine = types.SimpleNamespace(models=[model])
        service = types.SimpleNamespace(name='engines', engine=engine)
        endpoints = [
            builders.endpoint(name, address=address)
            for name, address in addresses_by_id.items()
        ]
        self.weights = engine_weights.EngineWeights()
        self.weights.raise_targets({model: 2})
        self.rollout = weights_rollout.WeightsRollout(
            types.SimpleNamespace(replica=types.SimpleNamespace(term=1)),
            types.SimpleNamespace(
                acquire=lambda: True,
                is_held=lambda: True,
                note_order=lambda: None,
                release=lambda: None,
            ),
            types.SimpleNamespace(
                configuration=types.SimpleNamespace(services=[service])
            ),
            types.SimpleNamespace(serving_endpoints=lambda: endpoints),
            self.weights,
            dialect.PlatformDialect(),
            weights_rollout.RolloutOptions('core-0', lambda: None),
        )

    def run_until(self, is_reached):
        """Run the rollout until a condition holds."""

        def step():
            self.rollout.run_once()
            return is_reached()

        fleets.wait_until(step, 'the rollout')

    def failed_engines(self):
        """Return the ids of the engines whose orders are known to fail."""
        failures = self._emitted.fields(events.WEIGHTS_ORDER_FAILED)
        return {fields['endpoint'] for fields in failures}


@pytest.mark.parametrize(
    ('kind', 'is_slow'), [('length', False), ('chunks', True)]
)
def test_weights_reach_other_engines_beside_endless_reports(
    emitted, kind, is_slow
):
    answer = endless_endpoint.ANSWERS_BY_KIND[kind]
    engine = fake_endpoint.FakeEngine('sound', 'engines')
    with (
        endless_endpoint.EndlessEndpoint(answer, is_slow) as first,
        endless_endpoint.EndlessEndpoint(answer, is_slow) as second,
    ):
        harness = RolloutHarness(
            {
                'faulty-1': first.address,
                'faulty-2': second.address,
                'sound': engine.address,
            },
            emitted,
        )
        harness.run_until(
            lambda: (
                engine.version == 2
                and harness.failed_engines() == {'faulty-1', 'faulty-2'}
            )
        )
    engine.stop()


def _served_poll(content):
    """Poll for cache events that a server answers with a body."""
    start = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(content)
    answer = endless_endpoint.EndlessAnswer(start + content, b'x')
    with endless_endpoint.EndlessEndpoint(answer) as endpoint:
        platform = dialect.PlatformDialect()
        return platform.fetch_cache_events(endpoint.address, 0, 0.1, 5.0)


def _events_content(events_text):
    return b'{"boot_epoch": 1, "next": 1, "events": [%s]}' % events_text


def test_an_answer_of_many_tiny_values_does_not_grow_when_decoded():
    content = _events_content(b'[],' * 1_300_000 + b'[]')
    assert len(content) < dialect.MAX_CACHE_EVENTS_BYTES
    tracemalloc.start()
    try:
        with pytest.raises(ValueError):
            decoding.decode_object(content)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < endless_endpoint.MEGABYTE
    with pytest.raises(errors.EngineCallFailed):
        _served_poll(content)


def test_a_large_batch_of_cache_events_is_decoded():
    event = b'[1, "+", "salt", "0123456789abcdef0123456789abcdef", 512]'
    batch = _served_poll(_events_content(b','.join([event] * 40_000)))
    assert len(batch.events) == 40_000


def test_the_error_of_an_answer_that_is_not_text_does_not_quote_it():
    with pytest.raises(errors.EngineCallFailed) as raised:
        _served_poll(b'\xff' * endless_endpoint.MEGABYTE)
    assert len(raised.value.detail) < 1000


def test_a_committed_configuration_is_read_whatever_its_size():
    body = builders.configuration_body(1, spare=[0] * decoding.MAX_VALUES)
    platform = dialect.PlatformDialect()
    _, faults = platform.parse_committed_configuration(body)
    assert faults == []


def test_a_health_check_of_an_endless_answer_fails():
    results = _results(
        lambda address: probe.is_healthy(
            types.SimpleNamespace(address=address), CALL_SECONDS
        )
    )
    assert results == dict.fromkeys(ANSWERS, False)


@pytest.fixture
def short_bounds(monkeypatch):
    """Shorten the calls of cache watchers and of orders."""
    monkeypatch.setattr(cache_watchers, 'LONG_POLL_SECONDS', 0.1)
    monkeypatch.setattr(
        cache_watchers, 'READ_TIMEOUT_MARGIN_SECONDS', CALL_SECONDS
    )
    monkeypatch.setattr(cache_watchers, 'RETRY_SECONDS', CALL_SECONDS)
    monkeypatch.setattr(order_sender, 'ORDER_TIMEOUT_SECONDS', CALL_SECONDS)


def test_a_cache_watcher_says_once_that_an_answer_has_no_end(
    emitted, short_bounds
):
    tracker = types.SimpleNamespace(last_sequence=lambda endpoint: 0)

    def watch(address):
        budget = Budget()
        stopped = StopAfterWait()
        endpoint = types.SimpleNamespace(id=address, address=address)
        watcher = cache_watchers.CacheWatcher(endpoint, tracker, budget)
        watcher._stopped = stopped
        watcher.run()
        watcher._stopped = StopAfterWait()
        watcher.run()
        assert budget.peak_bytes <= cache_watchers.MAX_ANSWER_BYTES
        assert budget.used_bytes == 0
        return stopped.waits

    results = _results(watch)
    pauses = [cache_watchers.RETRY_SECONDS]
    assert results == dict.fromkeys(ANSWERS, pauses)
    assert len(emitted.fields(events.CACHE_LOST)) == len(ANSWERS)
    assert emitted.fields(events.THREAD_FAILED) == []


class OrderHarness:
    """An order sender on a VM that leads.

    Attributes:
        sender: the ``OrderSender``.
        done: fencing numbers of the orders that are done.
    """

    def __init__(self, addresses_by_id):
        endpoints_by_id = {
            name: builders.endpoint(name, address=address)
            for name, address in addresses_by_id.items()
        }
        self.done = []
        self._orders = [
            types.SimpleNamespace(
                fencing_number=number,
                endpoint_id=name,
                kind='set-role',
                argument='x',
                needs_drain=False,
            )
            for number, name in enumerate(endpoints_by_id)
        ]
        fleet = types.SimpleNamespace(
            pending_orders=self._pending_orders, document=lambda name: None
        )
        replica = types.SimpleNamespace(
            holds_lease=lambda: True, older_leases_expired=lambda: True
        )
        self.sender = order_sender.OrderSender(
            types.SimpleNamespace(is_running=True, replica=replica),
            types.SimpleNamespace(fleet=fleet),
            types.SimpleNamespace(find_endpoint=endpoints_by_id.get),
            types.SimpleNamespace(submit=self._submit),
        )

    def _pending_orders(self):
        return [o for o in self._orders if o.fencing_number not in self.done]

    def _submit(self, command, seconds):
        self.done.append(command.fencing_number)

    def run_until(self, is_reached):
        """Send orders until a condition holds."""

        def step():
            self.sender.run_once()
            return is_reached()

        fleets.wait_until(step, 'the orders')


def test_endless_answers_to_orders_hold_up_no_other_order(
    emitted, short_bounds
):
    names = [f'{kind}-{is_slow}' for kind, is_slow in ANSWERS]
    engine = fake_endpoint.FakeEngine('sound', 'engines')
    with contextlib.ExitStack() as stack:
        addresses_by_id = {
            name: stack.enter_context(
                endless_endpoint.EndlessEndpoint(
                    endless_endpoint.ANSWERS_BY_KIND[kind], is_slow
                )
            ).address
            for name, (kind, is_slow) in zip(names, ANSWERS, strict=True)
        }
        harness = OrderHarness({**addresses_by_id, 'sound': engine.address})
        harness.run_until(lambda: harness.done)
        failures = emitted.fields(events.ORDER_CALL_FAILED)
        failed = [fields['endpoint'] for fields in failures]
    engine.stop()
    assert harness.done == [len(ANSWERS)]
    assert len(failed) == len(set(failed))
