"""Errors of a VM that takes no request now, or not this one."""

from . import base_errors


class NoEndpoint(base_errors.RequestRefused):
    """No endpoint is available for the request."""

    code = 'no_endpoint'
    status = 503
    retry_after = 1


class NoEndpointReachable(base_errors.RequestRefused):
    """This VM reaches no endpoint, and no other VM has taken the request."""

    code = 'no_endpoint_reachable'
    status = 503
    retry_after = 1


class StreamVersionUnknown(base_errors.RequestRefused):
    """It is not known which software version began the resumed stream."""

    code = 'stream_version_unknown'
    status = 503
    retry_after = 1


class BuffersFull(base_errors.RequestRefused):
    """This VM has no memory left for a request's body.

    The messages that it is handling have taken all that it keeps for them.
    """

    code = 'buffers_full'
    status = 503
    retry_after = 1


class VmBusy(base_errors.RequestRefused):
    """This VM has as many requests of other VMs in flight as it takes."""

    code = 'vm_busy'
    status = 503
    retry_after = 1


class Saturated(base_errors.RequestRefused):
    """A limit on queued or concurrent requests is reached."""

    code = 'saturated'
    status = 503
    retry_after = 1


class DeadlineUnreachable(base_errors.RequestRefused):
    """No endpoint can start its response within the deadline."""

    code = 'deadline_unreachable'
    status = 503
    retry_after = 1


class ConfigurationMissing(base_errors.RequestRefused):
    """The VM has not received a configuration yet."""

    code = 'configuration_missing'
    status = 503
    retry_after = 1


class ConfigurationChanged(base_errors.RequestRefused):
    """The configuration has changed since the request was admitted.

    The request is checked again; no caller gets this error.
    """

    code = 'configuration_changed'
    status = 503


class QuorumUnavailable(base_errors.RequestRefused):
    """No quorum confirmed the claim of an at-most-once request.

    Nothing was sent to an endpoint.
    """

    code = 'quorum_unavailable'
    status = 503
    retry_after = 2


class Stopping(base_errors.RequestRefused):
    """The VM is shutting down."""

    code = 'stopping'
    status = 503
    # The load balancer routes the retry to another VM.
    retry_after = 0


class StopTimeout(base_errors.CarobwoodError):
    """The VM stopped while an endpoint ran the request."""

    code = 'stop_timeout'
    status = 502
