"""Error types of carobwood, with their codes, HTTP statuses and outcomes."""

import enum


class Outcome(enum.Enum):
    """Whether a request ran, as sent in the header ``Carobwood-Outcome``.

    Attributes:
        COMPLETE: the request ran and its response is complete.
        NOT_RUN: no endpoint ran the request; it is safe to send again.
        UNKNOWN: the request may or may not have run.
        PARTIAL: the request ran, but only a part of its response arrived.
    """

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    PARTIAL = 'partial'


class CarobwoodError(Exception):
    """Base of all errors that carobwood reports.

    Attributes:
        code: stable identifier, listed in docs/errors.md.
        status: HTTP status of the error response.
        outcome: whether the request ran.
        retry_after: seconds to wait before a retry, or None if the
            response gives no such hint.
        detail: description of this occurrence.
    """

    code = 'internal_error'
    status = 500
    outcome = Outcome.UNKNOWN
    retry_after = None

    def __init__(self, detail, retry_after=None):
        super().__init__(detail)
        self.detail = detail
        if retry_after is not None:
            self.retry_after = retry_after


class InternalError(CarobwoodError):
    """An unexpected error of the daemon itself; its traceback is logged."""


class RequestRefused(CarobwoodError):
    """Base of the errors that are raised before a request runs."""

    code = 'request_refused'
    status = 400
    outcome = Outcome.NOT_RUN


class MalformedRequest(RequestRefused):
    """The request is not valid HTTP or its JSON body is not valid."""

    code = 'malformed_request'


class AmbiguousPath(RequestRefused):
    """The path is not in normalised form."""

    code = 'ambiguous_path'


class ConflictingHeaders(RequestRefused):
    """A header is repeated that must not be, or contradicts another."""

    code = 'conflicting_headers'


class ConflictingCredentials(RequestRefused):
    """The request carries more than one credential."""

    code = 'conflicting_credentials'


class HeadersTooLarge(RequestRefused):
    """The request's headers exceed the limit."""

    code = 'headers_too_large'
    status = 431


class BodyTooLarge(RequestRefused):
    """The request's body exceeds the limit."""

    code = 'body_too_large'
    status = 413


class BodyBrokenOff(CarobwoodError):
    """The request's body broke off or was malformed as it was passed on.

    The endpoint has received a part of the request and may have run it.
    """

    code = 'body_broken_off'
    status = 400


class CredentialMissing(RequestRefused):
    """A request to a keyed route carries no key."""

    code = 'credential_missing'
    status = 401


class CredentialMalformed(RequestRefused):
    """The credential does not have the format of a carobwood key."""

    code = 'credential_malformed'
    status = 401


class KeyRefused(RequestRefused):
    """The key is unknown or withdrawn."""

    code = 'key_refused'
    status = 401


class GraceExpired(RequestRefused):
    """The VM is disconnected for longer than the customer's offline grace.

    It has had no contact with a leader of the replicated state for more
    than ``offline_grace_seconds``.
    """

    code = 'offline_grace_expired'
    status = 503
    retry_after = 5


class RouteNotFound(RequestRefused):
    """No route of the document matches the path."""

    code = 'route_not_found'
    status = 404


class MethodNotAllowed(RequestRefused):
    """The route does not allow the method."""

    code = 'method_not_allowed'
    status = 405


class ModelNotFound(RequestRefused):
    """The document does not define the model."""

    code = 'model_not_found'
    status = 404


class RateExceeded(RequestRefused):
    """The customer's token bucket on this VM holds too few tokens."""

    code = 'rate_exceeded'
    status = 429
    retry_after = 1


class RequestExceedsBurst(RequestRefused):
    """The request needs more tokens than the token bucket can ever hold."""

    code = 'request_exceeds_burst'
    status = 413


class NoEndpoint(RequestRefused):
    """No endpoint is available for the request."""

    code = 'no_endpoint'
    status = 503
    retry_after = 1


class StreamVersionUnknown(RequestRefused):
    """It is not known which software version began the resumed stream."""

    code = 'stream_version_unknown'
    status = 503
    retry_after = 1


class EndpointUnreachable(RequestRefused):
    """No connection to an endpoint could be opened; nothing was sent.

    Attributes:
        is_timeout: whether the endpoint was only silent.
    """

    code = 'endpoint_unreachable'
    status = 503
    retry_after = 1
    is_timeout = False


class DescriptorsUsedUp(EndpointUnreachable):
    """This process may open no further connection to an endpoint or a VM."""

    code = 'descriptors_used_up'


class EndpointLeft(RequestRefused):
    """The endpoint began to leave before the request was sent to it."""

    code = 'endpoint_left'
    status = 503
    retry_after = 1


class NoEndpointReachable(RequestRefused):
    """This VM reaches no endpoint, and no other VM has taken the request."""

    code = 'no_endpoint_reachable'
    status = 503
    retry_after = 1


class BodyTimeout(RequestRefused):
    """The request's body has not arrived within the request's time."""

    code = 'body_timeout'
    status = 408


class BuffersFull(RequestRefused):
    """This VM has no memory left for a request's body.

    The messages that it is handling have taken all that it keeps for them.
    """

    code = 'buffers_full'
    status = 503
    retry_after = 1


class VmBusy(RequestRefused):
    """This VM has as many requests of other VMs in flight as it takes."""

    code = 'vm_busy'
    status = 503
    retry_after = 1


class ForwardedRequestFailed(CarobwoodError):
    """The VM that a request was forwarded to has answered with an error."""

    code = 'forwarded_request_failed'
    status = 502

    def __init__(
        self, detail, status=502, outcome=Outcome.UNKNOWN, retry_after=None
    ):
        super().__init__(detail, retry_after)
        self.status = status
        self.outcome = outcome


class Saturated(RequestRefused):
    """A limit on queued or concurrent requests is reached."""

    code = 'saturated'
    status = 503
    retry_after = 1


class CallerLeft(RequestRefused):
    """The caller closed its connection before the request ran."""

    code = 'caller_left'
    status = 499


class DeadlineUnreachable(RequestRefused):
    """No endpoint can start its response within the deadline."""

    code = 'deadline_unreachable'
    status = 503
    retry_after = 1


class RequestCrashesEndpoints(RequestRefused):
    """Two endpoints crashed while they ran the same request."""

    code = 'request_crashes_endpoints'
    status = 503
    retry_after = 60


class ConfigurationMissing(RequestRefused):
    """The VM has not received a configuration yet."""

    code = 'configuration_missing'
    status = 503
    retry_after = 1


class ConfigurationChanged(RequestRefused):
    """The configuration has changed since the request was admitted.

    The request is checked again; no caller gets this error.
    """

    code = 'configuration_changed'
    status = 503


class StopTimeout(CarobwoodError):
    """The VM stopped while an endpoint ran the request."""

    code = 'stop_timeout'
    status = 502


class Stopping(RequestRefused):
    """The VM is shutting down."""

    code = 'stopping'
    status = 503
    # The load balancer routes the retry to another VM.
    retry_after = 0


class QuorumUnavailable(RequestRefused):
    """No quorum confirmed the claim of an at-most-once request.

    Nothing was sent to an endpoint.
    """

    code = 'quorum_unavailable'
    status = 503
    retry_after = 2


class IdempotencyKeyMissing(RequestRefused):
    """A request that must run at most once has no ``Idempotency-Key``."""

    code = 'idempotency_key_missing'


class IdempotencyConflict(RequestRefused):
    """The idempotency key was used before with a different request."""

    code = 'idempotency_conflict'
    status = 409


class ClaimPending(CarobwoodError):
    """The answer to an earlier copy of the request is not stored.

    The earlier copy may still be running, or its answer was lost.
    """

    code = 'claim_pending'
    status = 409
    outcome = Outcome.UNKNOWN
    retry_after = 2


class EndpointFailed(CarobwoodError):
    """The endpoint failed after the request was sent."""

    code = 'endpoint_failed'
    status = 502
    outcome = Outcome.UNKNOWN
    retry_after = 1


class EndpointTimeout(CarobwoodError):
    """The endpoint did not respond within the deadline."""

    code = 'endpoint_timeout'
    status = 504
    outcome = Outcome.UNKNOWN
    retry_after = 1


class AnswerMismatch(CarobwoodError):
    """The endpoint's response does not belong to the request.

    The response was discarded.
    """

    code = 'answer_mismatch'
    status = 502
    outcome = Outcome.UNKNOWN
    retry_after = 1


class StreamBroken(CarobwoodError):
    """The stream ended without its terminal event."""

    code = 'stream_broken'
    status = 502
    outcome = Outcome.PARTIAL
    retry_after = 1


class OperatorRefused(RequestRefused):
    """The operator's or the endpoint's token is missing or wrong."""

    code = 'operator_refused'
    status = 401


class DocumentInvalid(RequestRefused):
    """The document is not valid.

    Attributes:
        faults: list of ``DocumentFault``, one for each fault found.
    """

    code = 'document_invalid'
    status = 422

    def __init__(self, faults):
        super().__init__('; '.join(str(fault) for fault in faults))
        self.faults = list(faults)


class VersionConflict(RequestRefused):
    """A concurrent change was committed first."""

    code = 'version_conflict'
    status = 409


class DigestMismatch(RequestRefused):
    """The source environment's document does not have the given digest."""

    code = 'digest_mismatch'
    status = 409


class NotFound(RequestRefused):
    """The named object does not exist."""

    code = 'not_found'
    status = 404


class AlreadyFounded(RequestRefused):
    """The VM or one of its peers already belongs to a fleet."""

    code = 'already_founded'
    status = 409


class ChangeUncertain(CarobwoodError):
    """The change may or may not be committed.

    It is safe to resend it with the same operation id.
    """

    code = 'change_uncertain'
    status = 504
    outcome = Outcome.UNKNOWN
    retry_after = 1


class EndpointUnknown(CarobwoodError):
    """An endpoint ends that this VM does not know; it must tell another VM."""

    code = 'endpoint_unknown'
    status = 503
    outcome = Outcome.UNKNOWN
    retry_after = 1


class LeavingUnconfirmed(CarobwoodError):
    """Too few VMs have saved that an endpoint leaves; it must tell again."""

    code = 'leaving_unconfirmed'
    status = 503
    outcome = Outcome.UNKNOWN
    retry_after = 1


class ReplacementRefused(RequestRefused):
    """The voter cannot be replaced now."""

    code = 'replacement_refused'
    status = 409


class SettingsInvalid(CarobwoodError):
    """The settings of the process are not valid.

    Attributes:
        faults: list of strings, each with the setting and its fault.
    """

    code = 'settings_invalid'

    def __init__(self, faults):
        super().__init__('\n'.join(faults))
        self.faults = list(faults)


class LogDamaged(CarobwoodError):
    """A stored record is damaged: in a snapshot or not at the log's end.

    A damaged record at the end of the log is an incomplete write, which
    is truncated instead.
    """

    code = 'log_damaged'


class DataFolderInUse(CarobwoodError):
    """Another process has locked the data folder."""

    code = 'data_folder_in_use'


class DiskWriteFailed(CarobwoodError):
    """A write to the data folder failed, for instance on a full disk."""

    code = 'disk_write_failed'
    status = 503


class DiskWriteUncertain(DiskWriteFailed):
    """A file was replaced, but a loss of power may bring the old one back.

    Until its folder is synced a later start may read either.
    """

    code = 'disk_write_uncertain'


class NotLeader(CarobwoodError):
    """The replica is not the Raft leader.

    Attributes:
        leader_address: link address of the leader, or an empty string.
    """

    code = 'not_leader'
    status = 503

    def __init__(self, leader_address):
        super().__init__(f'the leader is {leader_address or "unknown"}')
        self.leader_address = leader_address


class LinkFailed(CarobwoodError):
    """A call to another VM failed."""

    code = 'link_failed'
    status = 503


class LinkRefused(LinkFailed):
    """The link was rejected, for instance because its handshake failed."""

    code = 'link_refused'


class ClientUsage(CarobwoodError):
    """The client was called with invalid arguments."""

    code = 'client_usage'


def all_error_types():
    """Return the error types, one for each code, sorted by code.

    Of a base class and a subclass with the same code, the subclass is
    returned.
    """
    types_by_code = {}
    pending = [CarobwoodError]
    while pending:
        error_type = pending.pop()
        types_by_code[error_type.code] = error_type
        pending.extend(error_type.__subclasses__())
    return [types_by_code[code] for code in sorted(types_by_code)]


class EndpointNotRun(RequestRefused):
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


class ConfigurationInvalid(RequestRefused):
    """The operators' configuration is not valid.

    Attributes:
        faults: list of strings, one for each fault found.
    """

    code = 'configuration_invalid'

    def __init__(self, faults):
        super().__init__('; '.join(faults))
        self.faults = list(faults)


class EngineCallFailed(CarobwoodError):
    """A VM's own call to an engine failed.

    Such a call reads a report or cache events, or sends an order.
    """

    code = 'engine_call_failed'
    status = 502


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


class EngineOrderRefused(CarobwoodError):
    """An engine rejected an order.

    Attributes:
        engine_status: HTTP status of the engine's response.
    """

    code = 'engine_order_refused'
    status = 409
    outcome = Outcome.NOT_RUN

    def __init__(self, engine_status):
        super().__init__(
            f'the engine rejected the order: HTTP status {engine_status}'
        )

        self.engine_status = engine_status
