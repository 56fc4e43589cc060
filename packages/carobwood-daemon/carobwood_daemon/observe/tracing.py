"""Spans of a request's hops, by OpenTelemetry."""

import contextlib
import json

from opentelemetry import trace
from opentelemetry.trace import propagation
from opentelemetry.trace.propagation import tracecontext

_SERVICE = 'carobwoodd'


class Tracer:
    """Starts the traces of requests; the base class records nothing."""

    def start(self, name, **attributes):
        """Return the ``RequestTrace`` of a new request."""
        return RequestTrace()

    def shut_down(self):
        """Export what is pending."""


class RequestTrace:
    """The spans of one request; the base class records nothing."""

    @contextlib.contextmanager
    def hop(self, name, **attributes):
        """Record one hop while the block runs."""
        yield

    def propagate(self, headers):
        """Add the trace's context to the headers of a request."""

    def end(self, **attributes):
        """End the request's own span."""


class OtelTracer(Tracer):
    """Records spans and exports them in the background."""

    def __init__(self, provider):
        self._provider = provider
        self._tracer = provider.get_tracer(_SERVICE)

    def start(self, name, **attributes):
        """See ``Tracer``."""
        span = self._tracer.start_span(name, attributes=attributes)
        return OtelRequestTrace(self._tracer, span)

    def shut_down(self):
        """See ``Tracer``."""
        self._provider.shutdown()


class OtelRequestTrace(RequestTrace):
    """The spans of one request under a root span."""

    def __init__(self, tracer, span):
        self._tracer = tracer
        self._span = span
        self._context = propagation.set_span_in_context(span)

    @contextlib.contextmanager
    def hop(self, name, **attributes):
        """See ``RequestTrace``."""
        span = self._tracer.start_span(
            name, context=self._context, attributes=attributes
        )
        try:
            yield
        except Exception as error:
            span.set_status(trace.StatusCode.ERROR, type(error).__name__)
            raise
        finally:
            span.end()

    def propagate(self, headers):
        """See ``RequestTrace``."""
        tracecontext.TraceContextTextMapPropagator().inject(
            headers, context=self._context
        )

    def end(self, **attributes):
        """See ``RequestTrace``."""
        self._span.set_attributes(attributes)
        self._span.end()


def make_tracer(export, target, vm_id):
    """Return the tracer that the settings ask for.

    The SDK is loaded only if spans are exported.

    Args:
        export: ``none``, ``file`` or ``otlp``.
        target: path of the file, or URL of the collector.
        vm_id: name of this VM.
    """
    if export == 'none':
        return Tracer()
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace as sdk_trace
    from opentelemetry.sdk.trace import export as sdk_export

    provider = sdk_trace.TracerProvider(
        resource=resources.Resource.create(
            {'service.name': _SERVICE, 'service.instance.id': vm_id}
        )
    )
    if export == 'file':
        exporter = sdk_export.ConsoleSpanExporter(
            out=open(target, 'a', buffering=1, encoding='utf-8'),
            formatter=_format_span,
        )
    else:
        from opentelemetry.exporter.otlp.proto.http import trace_exporter

        exporter = trace_exporter.OTLPSpanExporter(endpoint=target)
    provider.add_span_processor(sdk_export.BatchSpanProcessor(exporter))
    return OtelTracer(provider)


def _format_span(span):
    return json.dumps(json.loads(span.to_json())) + '\n'
