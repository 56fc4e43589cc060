"""Tests of requests without end to carobwoodd's two listeners."""

import types

from carobwood import addresses
from carobwood import errors
from carobwood_daemon.entry import exchange as exchanges
from carobwood_daemon.entry import listener as listeners
from carobwood_daemon.entry import request_gate
from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.observe import metrics as metric_clients
from carobwood_daemon.observe import tracing
from carobwood_daemon.operators import operator_app
import endless_caller
import endless_endpoint
import pytest
import relay_test_fleet

MEGABYTE = endless_endpoint.MEGABYTE
MAX_THREADS = 2 * len(endless_caller.REQUESTS_BY_KIND)
MAX_BODY_BYTES = 16 * MEGABYTE
ENDLESS_BYTES = 32 * MEGABYTE
BUDGET_BYTES = 4 * MEGABYTE
PAUSE_SECONDS = 0.05
DOCUMENT = b'{"environment": "production", "text": ""}'


class _CallerApplication:
    """Answers each request once its body is read."""

    def __init__(self):
        self._gate = request_gate.RequestGate(MAX_THREADS)
        self._tracer = tracing.make_tracer('none', '', 'vm1')

    def handle(self):
        """Answer the request that CherryPy has parsed."""
        exchange = exchanges.Exchange(
            self._gate, self._tracer, metric_clients.Metrics()
        )
        try:
            exchange.read_body(MAX_BODY_BYTES)
        except errors.CarobwoodError as error:
            return exchange.respond_error(error)
        return exchange.respond(200, {}, b'read', errors.Outcome.COMPLETE)


def _make_operator_application():
    documents = types.SimpleNamespace(check=lambda message: {})
    porcelain = types.SimpleNamespace(documents=documents, vms=None)
    return operator_app.OperatorApplication(
        porcelain, (('op', 'token'),), 'announce'
    )


@pytest.fixture
def budget():
    """Return a budget for one large body."""
    return buffer_budget.BufferBudget(BUDGET_BYTES)


@pytest.fixture(params=('callers', 'operators'))
def target(request, budget, monkeypatch):
    """Run a listener with a short timeout; return its ``Target``."""
    monkeypatch.setattr(listeners, 'SOCKET_TIMEOUT_SECONDS', 1.0)
    application = _CallerApplication()
    if request.param == 'operators':
        application = _make_operator_application()
    server = listeners.Listener(
        addresses.Address('127.0.0.1', 0),
        application.handle,
        MAX_THREADS,
        buffers=budget,
    )
    server.start()
    yield endless_caller.Target(
        '127.0.0.1',
        server.port,
        'POST',
        '/v1/documents/check',
        {'Authorization': 'Bearer token', 'Host': 'x'},
    )
    server.stop()


@pytest.mark.parametrize('pause', (0, PAUSE_SECONDS), ids=('fast', 'slow'))
def test_a_request_without_end_holds_a_worker_for_a_time(
    target, budget, pause
):
    callers_by_kind = {
        kind: endless_caller.EndlessCaller(target, kind, ENDLESS_BYTES, pause)
        for kind in endless_caller.REQUESTS_BY_KIND
    }
    assert target.ask(DOCUMENT).status == 200
    for kind, caller in callers_by_kind.items():
        caller.wait_for_answer()
        assert caller.has_ended, kind
        assert pause == 0 or b'not-run' in caller.answer, kind
        caller.close()
    relay_test_fleet.await_reply(
        lambda: budget.used_bytes, lambda used_bytes: not used_bytes
    )


def test_a_body_without_memory_is_refused_and_gives_back_what_it_took(
    target, budget
):
    large = bytes(BUDGET_BYTES + 2 * buffer_budget.FREE_BYTES)
    refused = target.ask(large)
    assert (refused.status, b'not-run' in refused.body) == (503, True)
    assert int(refused.headers['retry-after']) >= 1
    assert target.ask(DOCUMENT).status == 200
    relay_test_fleet.await_reply(
        lambda: budget.used_bytes, lambda used_bytes: not used_bytes
    )
