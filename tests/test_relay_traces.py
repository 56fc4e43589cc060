"""Tests of the trace spans of relayed requests and of their export."""

import json
import threading

from carobwood import errors
from carobwood_daemon.observe import tracing
from carobwood_daemon import relay_settings
import fake_endpoint
import pytest
import relay_test_fleet


def test_spans_of_all_hops_are_exported_without_the_api_key(tmp_path):
    target = tmp_path / 'spans.json'
    trace = relay_settings.TraceSettings('file', str(target))
    fleet = relay_test_fleet.RelayFleet(
        tmp_path, control_vm_count=1, trace=trace
    )
    engine = fake_endpoint.FakeEngine('engine-0', 'engines')
    try:
        body = relay_test_fleet.builders.configuration_body(1)
        fleet.control('PUT', '/v1/config', body)
        path = f'/v1/instances/{engine.name}'
        fleet.control('PUT', path, engine.announcement())
        relay_test_fleet.await_reply(
            lambda: fleet.ask('/checks/x', Traceparent='forged'),
            lambda reply: reply.status == 200,
        )
    finally:
        fleet.stop()
        engine.stop()
    spans = [json.loads(line) for line in target.read_text().splitlines()]
    names_by_trace = {}
    for span in spans:
        trace_id = span['context']['trace_id'].removeprefix('0x')
        names_by_trace.setdefault(trace_id, set()).add(span['name'])
    # The request that was responded to is the last one the engine received.
    version, trace_id, _, _ = engine.requests[-1]['traceparent'].split('-')
    assert version == '00'
    hops = {'relay', 'admission', 'place', 'endpoint'}
    assert names_by_trace[trace_id] == hops
    assert relay_test_fleet.builders.KEY not in target.read_text()


def test_trace_settings_are_read_from_the_environment():
    trace = relay_settings.read_trace_settings(
        {
            'CAROBWOOD_TRACE_EXPORT': 'otlp',
            'CAROBWOOD_TRACE_TARGET': 'http://10.0.0.9:4318/v1/traces',
        }
    )
    assert trace.export == 'otlp'
    assert trace.target == 'http://10.0.0.9:4318/v1/traces'
    assert relay_settings.read_trace_settings({}).export == 'none'


@pytest.mark.parametrize(
    'environ',
    [
        {'CAROBWOOD_TRACE_EXPORT': 'paper'},
        {'CAROBWOOD_TRACE_EXPORT': 'file'},
    ],
)
def test_invalid_trace_settings_are_refused(environ):
    with pytest.raises(errors.SettingsInvalid):
        relay_settings.read_trace_settings(environ)


class _HangingProvider:
    """A provider of tracers whose collector does not answer.

    Attributes:
        answers: event that ends the wait for the collector.
    """

    def __init__(self):
        self.answers = threading.Event()

    def get_tracer(self, name):
        """Return nothing, as no request is traced."""

    def shutdown(self):
        """Wait for the collector."""
        self.answers.wait(relay_test_fleet.WAIT_SECONDS)


# A stop waited for a collector of traces that did not answer, for 30 s, beyond
# the time after which the process is killed.
def test_a_stop_ends_although_the_collector_of_traces_hangs(tmp_path):
    fleet = relay_test_fleet.RelayFleet(
        tmp_path, control_vm_count=1, stop_seconds=2.0
    )
    provider = _HangingProvider()
    fleet.vms[0]._tracer = tracing.OtelTracer(provider)
    stopping = threading.Thread(target=fleet.vms[0].stop, daemon=True)
    stopping.start()
    stopping.join(relay_test_fleet.WAIT_SECONDS / 2)
    has_ended = not stopping.is_alive()
    provider.answers.set()
    stopping.join()
    fleet.vms[1].stop()
    assert has_ended
