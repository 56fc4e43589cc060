"""Tracing of requests with OpenTelemetry."""

import contextlib
import json

from opentelemetry import trace
from opentelemetry.trace import propagation
from opentelemetry.trace.propagation import tracecontext

from carobwood import threads

_SERVICE_NAME = 'carobwoodd'


class Tracer:
    """Starts traces of requests; this base class records nothing."""

    def start(self, name, **attributes):
        """Start the trace of a request.

        Args:
            name: name of the request's root span.
            **attributes: attributes of that span.

        Returns:
            The ``RequestTrace``.
        """
        return RequestTrace()

    def shut_down(self, seconds):
        """Export pending spans and stop.

        Args:
            seconds: time for it; spans that take longer are lost.
        """


class RequestTrace:
    """The spans of a request; this base class records nothing."""

    @contextlib.contextmanager
    def span(self, name, **attributes):
        """Record a child span while the ``with`` block runs.

        Args:
            name: name of the span.
            **attributes: attributes of the span.
        """
        yield

    def propagate(self, headers):
        """Add the trace context to the headers of an upstream request.

        Args:
            headers: dictionary that the ``traceparent`` header is added to.
        """

    def end(self, **attributes):
        """End the request's root span with further attributes."""


class OtelTracer(Tracer):
    """Records spans, which its provider exports in the background."""

    def __init__(self, provider):
        self._provider = provider
        self._tracer = provider.get_tracer(_SERVICE_NAME)

    def start(self, name, **attributes):
        """See ``Tracer``."""
        span = self._tracer.start_span(name, attributes=attributes)
        return OtelRequestTrace(self._tracer, span)

    def shut_down(self, seconds):
        """See ``Tracer``."""
        # The provider waits for a collector that hangs.
        stop = threads.StepThread(self._provider.shutdown, 'tracer-stop')
        stop.start()
        stop.join(seconds)


class OtelRequestTrace(RequestTrace):
    """A root span of a request and its child spans."""

    def __init__(self, tracer, span):
        self._tracer = tracer
        self._span = span
        self._context = propagation.set_span_in_context(span)

    @contextlib.contextmanager
    def span(self, name, **attributes):
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
    """Create the tracer for the given settings.

    The OpenTelemetry SDK is imported only if spans are exported.

    Args:
        export: ``none``, ``file`` or ``otlp``.
        target: path of the file, or URL of the OTLP collector.
        vm_id: name of this VM.

    Returns:
        The ``Tracer``.
    """
    if export == 'none':
        return Tracer()
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace as sdk_trace
    from opentelemetry.sdk.trace import export as sdk_export

    provider = sdk_trace.TracerProvider(
        resource=resources.Resource.create(
            {'service.name': _SERVICE_NAME, 'service.instance.id': vm_id}
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
