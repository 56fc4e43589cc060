"""Errors of endpoints, and of the calls to them."""

from . import base_errors


class EndpointUnreachable(base_errors.RequestRefused):
    """No connection to an endpoint could be opened; nothing was sent.

    Attributes:
        is_timeout: whether the endpoint was only silent.
        is_reset: whether it has reset the connection as one too many.
    """

    code = 'endpoint_unreachable'
    status = 503
    retry_after = 1
    is_timeout = False
    is_reset = False


class DescriptorsUsedUp(EndpointUnreachable):
    """This process may open no further connection to an endpoint or a VM."""

    code = 'descriptors_used_up'


class LocalPortsUsedUp(DescriptorsUsedUp):
    """No local port is left for a connection to one endpoint or VM."""

    code = 'local_ports_used_up'


class EndpointLeft(base_errors.RequestRefused):
    """The endpoint began to leave before the request was sent to it."""

    code = 'endpoint_left'
    status = 503
    retry_after = 1


class VersionNotAllowed(base_errors.RequestRefused):
    """The endpoint's software version may not get the request now."""

    code = 'version_not_allowed'
    status = 503
    retry_after = 1


class EndpointNotRun(base_errors.RequestRefused):
    """The endpoint reports that it did not run the request.

    Attributes:
        head: the ``ResponseHead`` of its response.
    """

    code = 'endpoint_not_run'
    status = 503
    retry_after = 1

    def __init__(self, head):
        super().__init__(
            f'the endpoint did not run the request: HTTP status {head.status}'
        )
        self.head = head


class EndpointFailed(base_errors.CarobwoodError):
    """The endpoint failed after the request was sent.

    Attributes:
        is_reset: whether it reset a new connection before any answer, which
            it does also if it has too many.
    """

    code = 'endpoint_failed'
    status = 502
    outcome = base_errors.Outcome.UNKNOWN
    retry_after = 1
    is_reset = False


class EndpointTimeout(base_errors.CarobwoodError):
    """The endpoint did not respond within the deadline."""

    code = 'endpoint_timeout'
    status = 504
    outcome = base_errors.Outcome.UNKNOWN
    retry_after = 1


class AnswerMismatch(base_errors.CarobwoodError):
    """The endpoint's response does not belong to the request.

    The response was discarded.
    """

    code = 'answer_mismatch'
    status = 502
    outcome = base_errors.Outcome.UNKNOWN
    retry_after = 1


class StreamBroken(base_errors.CarobwoodError):
    """The stream ended without its terminal event."""

    code = 'stream_broken'
    status = 502
    outcome = base_errors.Outcome.PARTIAL
    retry_after = 1


class EndpointUnknown(base_errors.CarobwoodError):
    """An endpoint ends that this VM does not know; it must tell another VM."""

    code = 'endpoint_unknown'
    status = 503
    outcome = base_errors.Outcome.UNKNOWN
    retry_after = 1


class LeavingUnconfirmed(base_errors.CarobwoodError):
    """Too few VMs have saved that an endpoint leaves; it must tell again."""

    code = 'leaving_unconfirmed'
    status = 503
    outcome = base_errors.Outcome.UNKNOWN
    retry_after = 1


class AnnouncementUnheard(base_errors.CarobwoodError):
    """This VM is cut off from other control VMs; another one must be told.

    The VMs that hear from this one know of the announcement all the same.
    """

    code = 'announcement_unheard'
    status = 503
    outcome = base_errors.Outcome.UNKNOWN
    retry_after = 1


class EngineCallFailed(base_errors.CarobwoodError):
    """A VM's own call to an engine failed.

    Such a call reads a report or cache events, or sends an order.

    Attributes:
        has_answered: whether a whole answer has come, which is not valid or
            names an error.
    """

    code = 'engine_call_failed'
    status = 502
    has_answered = False


class CallOutOfBounds(EngineCallFailed):
    """The answer to a VM's own call did not end within a bound.

    Attributes:
        bound: which one: ``deadline``, ``size`` (of the answer) or ``memory``
            (that the VM has left for it).
    """

    code = 'call_out_of_bounds'

    def __init__(self, bound, detail):
        super().__init__(detail)
        self.bound = bound


class EngineOrderRefused(base_errors.CarobwoodError):
    """An engine rejected an order.

    Attributes:
        engine_status: HTTP status of the engine's response.
    """

    code = 'engine_order_refused'
    status = 409
    outcome = base_errors.Outcome.NOT_RUN

    def __init__(self, engine_status):
        super().__init__(
            f'the engine rejected the order: HTTP status {engine_status}'
        )

        self.engine_status = engine_status
