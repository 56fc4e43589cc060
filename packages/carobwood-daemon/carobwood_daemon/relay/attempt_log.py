"""Log lines of the attempts of a request."""

from carobwood import clocks
from carobwood import events

# Leading characters of a fingerprint that are logged.
LOGGED_FINGERPRINT_CHARS = 16


def log_sent(request, assignment, last_event_id):
    """Log that a request is sent to an endpoint.

    Args:
        request: the ``AdmittedRequest``.
        assignment: the ``Assignment``.
        last_event_id: id of the last event that the caller got in an
            earlier attempt, or empty.
    """
    metadata = request.metadata
    events.emit(
        events.REQUEST_SENT,
        request_id=metadata.request_id,
        endpoint=assignment.endpoint.id,
        weights=assignment.weights_version,
        software=assignment.endpoint.software_version,
        resumes=metadata.resumed_request_id,
        after=last_event_id or metadata.resume_id,
        fetch_from=assignment.fetch_from,
        save_to=assignment.save_to,
        left=round(request.seconds_left, 3),
        heard=round(clocks.now() - assignment.endpoint.last_seen_at, 2),
        **assignment.decision_inputs,
    )


def log_crash(request, assignment, answering):
    """Log that an endpoint crashed while it had a request.

    Args:
        request: the ``AdmittedRequest``.
        assignment: the ``Assignment``.
        answering: seconds for which it had been answering, or None if it had
            not begun.
    """
    segments = request.metadata.prompt_segments
    events.emit(
        events.ENDPOINT_CRASHED,
        request_id=request.metadata.request_id,
        endpoint=assignment.endpoint.id,
        incarnation=assignment.endpoint.incarnation,
        fingerprint=request.fingerprint[:LOGGED_FINGERPRINT_CHARS],
        segments=[segment.id for segment in segments[:-1]],
        answering=None if answering is None else round(answering, 4),
    )


def log_failed(request, assignment, error):
    """Log that an attempt has failed.

    Args:
        request: the ``AdmittedRequest``.
        assignment: the ``Assignment``.
        error: the ``CarobwoodError``.
    """
    events.emit(
        events.ATTEMPT_FAILED,
        request_id=request.metadata.request_id,
        endpoint=assignment.endpoint.id,
        code=error.code,
        detail=error.detail,
    )


def log_silent(silent, stay_reason, started):
    """Log that an endpoint is silent, and which one goes on.

    Args:
        silent: the ``SilentAttempt``.
        stay_reason: the ``StayReason``, or None if another endpoint goes on.
        started: the ``StartedAttempt`` at that one, or None.
    """
    request = silent.request
    events.emit(
        events.ENDPOINT_SILENT,
        request_id=request.metadata.request_id,
        endpoint=silent.assignment.endpoint.id,
        stays_for=stay_reason.value if stay_reason else '',
        has_started=silent.has_started,
        silent=round(clocks.now() - silent.heard_at, 3),
        goes_to=started.sent.assignment.endpoint.id if started else '',
        has_answered=started is not None and started.response is not None,
        left=round(request.seconds_left, 3),
    )
