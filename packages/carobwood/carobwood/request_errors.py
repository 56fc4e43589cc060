"""Errors of requests that are not valid or not allowed."""

from . import base_errors


class MalformedRequest(base_errors.RequestRefused):
    """The request is not valid HTTP or its JSON body is not valid."""

    code = 'malformed_request'


class AmbiguousPath(base_errors.RequestRefused):
    """The path is not in normalised form."""

    code = 'ambiguous_path'


class ConflictingHeaders(base_errors.RequestRefused):
    """A header is repeated that must not be, or contradicts another."""

    code = 'conflicting_headers'


class ConflictingCredentials(base_errors.RequestRefused):
    """The request carries more than one credential."""

    code = 'conflicting_credentials'


class HeadersTimeout(base_errors.RequestRefused):
    """The request's headers have not arrived within their time."""

    code = 'headers_timeout'
    status = 408


class HeadersTooLarge(base_errors.RequestRefused):
    """The request's headers exceed the limit."""

    code = 'headers_too_large'
    status = 431


class BodyTooLarge(base_errors.RequestRefused):
    """The request's body exceeds the limit."""

    code = 'body_too_large'
    status = 413


class BodyBrokenOff(base_errors.CarobwoodError):
    """The request's body broke off or was malformed as it was passed on.

    The endpoint has received a part of the request and may have run it.
    """

    code = 'body_broken_off'
    status = 400


class BodyTimeout(base_errors.RequestRefused):
    """The request's body has not arrived within the request's time."""

    code = 'body_timeout'
    status = 408


class CallerLeft(base_errors.RequestRefused):
    """The caller closed its connection before the request ran."""

    code = 'caller_left'
    status = 499


class CredentialMissing(base_errors.RequestRefused):
    """A request to a keyed route carries no key."""

    code = 'credential_missing'
    status = 401


class CredentialMalformed(base_errors.RequestRefused):
    """The credential does not have the format of a carobwood key."""

    code = 'credential_malformed'
    status = 401


class KeyRefused(base_errors.RequestRefused):
    """The key is unknown or withdrawn."""

    code = 'key_refused'
    status = 401


class GraceExpired(base_errors.RequestRefused):
    """The VM is disconnected for longer than the customer's offline grace.

    It has had no contact with a leader of the replicated state for more
    than ``offline_grace_seconds``.
    """

    code = 'offline_grace_expired'
    status = 503
    retry_after = 5


class RouteNotFound(base_errors.RequestRefused):
    """No route of the document matches the path."""

    code = 'route_not_found'
    status = 404


class MethodNotAllowed(base_errors.RequestRefused):
    """The route does not allow the method."""

    code = 'method_not_allowed'
    status = 405


class ModelNotFound(base_errors.RequestRefused):
    """The document does not define the model."""

    code = 'model_not_found'
    status = 404


class RateExceeded(base_errors.RequestRefused):
    """The customer's token bucket on this VM holds too few tokens."""

    code = 'rate_exceeded'
    status = 429
    retry_after = 1


class RequestExceedsBurst(base_errors.RequestRefused):
    """The request needs more tokens than the token bucket can ever hold."""

    code = 'request_exceeds_burst'
    status = 413


class IdempotencyKeyMissing(base_errors.RequestRefused):
    """A request that must run at most once has no ``Idempotency-Key``."""

    code = 'idempotency_key_missing'


class IdempotencyConflict(base_errors.RequestRefused):
    """The idempotency key was used before with a different request."""

    code = 'idempotency_conflict'
    status = 409


class ClaimPending(base_errors.CarobwoodError):
    """The answer to an earlier copy of the request is not stored.

    The earlier copy may still be running, or its answer was lost.
    """

    code = 'claim_pending'
    status = 409
    outcome = base_errors.Outcome.UNKNOWN
    retry_after = 2


class RequestCrashesEndpoints(base_errors.RequestRefused):
    """Two endpoints crashed while they ran the same request."""

    code = 'request_crashes_endpoints'
    status = 503
    retry_after = 60
