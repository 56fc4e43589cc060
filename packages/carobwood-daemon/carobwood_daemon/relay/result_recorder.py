"""Updates of endpoint health and engine weights from attempt results.

An attempt is one send of a request to one endpoint.

Load pattern: all VMs restart with weights versions that date from before a
weights change. Dozens of requests arrive at once, and each of them would be
rejected by one engine after the other, or repeatedly by the same one, until
the retry budget is used up.

An engine that rejects a request because of its weights is therefore asked
for its weights version before the request is sent anywhere again.

Load pattern: this VM is partitioned from all endpoints, and the connections of
dozens of requests are reset. Each would look like a crash that its request has
caused, and be refused everywhere. So an endpoint that cannot be reached counts
as crashed only if another one can be.

Load pattern: an endpoint accepts no connection for a moment, and serves those
that it has. They are kept unless it refuses a new one: its process has ended
then, or listens no more.
"""

import random

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import attempt_log
from . import endpoint_prober

# Timeout of the query for an engine's weights; a request waits for it.
REPORT_TIMEOUT_SECONDS = 0.3
# Other endpoints that are tried, as one may have crashed too.
MAX_WITNESSES = 2
# Time from the first event of an answer after which a crash of the endpoint
# is not put down to the request.
CRASH_DELAY_SECONDS = 0.25


class ResultRecorder:
    """Records the results of the attempts of one request."""

    def __init__(self, context, request):
        """Create the recorder.

        Args:
            context: the ``RelayContext``.
            request: the ``AdmittedRequest``.
        """
        self._context = context
        self._request = request

    def note_answered(self, assignment, head):
        """Record that an endpoint has answered.

        Args:
            assignment: the ``Assignment`` that the request was sent to.
            head: the ``ResponseHead``.
        """
        self._context.health.note_result(
            assignment.endpoint, head.status >= 500
        )
        self._context.crash_suspects.expire_strikes(self._request.fingerprint)
        self._context.rollouts.note_answered(assignment, head.status)
        self._note_version(assignment, head)

    def note_silent(self, assignment):
        """Record an attempt whose endpoint's silence is recorded already.

        Args:
            assignment: the ``Assignment`` that the request was sent to.
        """
        self._note_evidence(assignment, self._is_suspect(), False)

    def _is_suspect(self):
        suspects = self._context.crash_suspects
        return suspects.is_suspect(self._request.fingerprint)

    def _note_evidence(self, assignment, is_suspect, has_crashed):
        """Count a failed attempt for the software version of its endpoint.

        Args:
            assignment: the ``Assignment`` that the request was sent to.
            is_suspect: whether the request was suspected of crashing
                endpoints before the attempt failed.
            has_crashed: whether the endpoint has crashed.
        """
        context = self._context
        is_spoiled = (
            is_suspect
            or context.reachability.is_cut_off
            or context.gate.is_interrupted
        )
        context.rollouts.note_failed(assignment, is_spoiled, has_crashed)

    def note_first_event(self, assignment, seconds):
        """Record what the first event of an answer took.

        Args:
            assignment: the ``Assignment`` that the request was sent to.
            seconds: time from sending the request to the event.
        """
        speeds = self._context.engine_speeds
        if speeds is not None and assignment.work is not None:
            speeds.note_first_event(
                assignment.endpoint, assignment.work, seconds
            )

    def note_unreachable(self, assignment, error):
        """Record that an endpoint has accepted no connection.

        Args:
            assignment: the ``Assignment`` that the request was sent to.
            error: the ``EndpointUnreachable``.
        """
        if error.is_reset:
            # It is there; the pool has begun a back-off.
            return
        self._context.health.note_unreachable(assignment.endpoint)
        if not error.is_timeout:
            self._context.pool.close_idle(assignment.endpoint.address)

    def note_not_run(self, assignment, head):
        """Record that an endpoint has rejected the request without running it.

        Args:
            assignment: the ``Assignment`` that the request was sent to.
            head: the ``ResponseHead``. Its status is 421 if the endpoint is
                not the intended one or has other weights.
        """
        self._note_version(assignment, head)
        if head.status != 421:
            self._context.health.note_refused(assignment.endpoint)
        elif head.endpoint_id not in ('', assignment.endpoint.id):
            # Another endpoint listens on its address, so it is gone.
            self._context.ended_endpoints.note_answer(
                assignment.endpoint, head.endpoint_id
            )
        elif not self._refresh_weights(assignment):
            self._context.health.note_refused(assignment.endpoint)

    def note_failed_attempt(self, assignment, error, sent_at, first_event_at):
        """Record a failed attempt, and which segments may have crashed it.

        Args:
            assignment: the ``Assignment`` that the request was sent to.
            error: the ``CarobwoodError`` of the attempt.
            sent_at: when the attempt began, by ``clocks.now``.
            first_event_at: when its first event came, or None.
        """
        is_suspect = self._is_suspect()
        has_crashed = self.note_failed(assignment, error)
        self._note_evidence(assignment, is_suspect, has_crashed)
        if has_crashed:
            self._note_crash(assignment, sent_at, first_event_at)

    def note_failed(self, assignment, error):
        """Record that the request failed and that it may have run.

        If the endpoint also refuses a new connection while another one
        accepts one, it has crashed, and the request is suspected of having
        caused the crash.

        Args:
            assignment: the ``Assignment`` that the request was sent to.
            error: the ``CarobwoodError`` of the attempt.

        Returns:
            Whether the endpoint has crashed.
        """
        endpoint = assignment.endpoint
        self._context.health.note_result(endpoint, True)
        if not isinstance(error, errors.EndpointFailed):
            return False
        connect_error = self._find_connect_error(endpoint)
        if connect_error is None:
            if error.is_reset:
                self._context.pool.note_reset(endpoint.address)
            return False
        if isinstance(connect_error, errors.DescriptorsUsedUp):
            # It tells of this VM, not of the endpoint.
            return False
        if connect_error.is_reset:
            return False
        self.note_unreachable(assignment, connect_error)
        if not self._reaches_another(endpoint):
            return False
        self._context.crash_suspects.add_strikes(
            endpoint, [self._request.fingerprint]
        )
        return True

    def _note_crash(self, assignment, sent_at, first_event_at):
        """Record which segments may have crashed the endpoint."""
        answering = None
        if first_event_at is not None:
            answering = clocks.now() - first_event_at
        attempt_log.log_crash(self._request, assignment, answering)
        if answering is None or answering < CRASH_DELAY_SECONDS:
            self._context.segment_suspects.record_crash(
                assignment.endpoint,
                self._request.fingerprint,
                self._request.segment_keys,
                sent_at,
            )

    def _refresh_weights(self, assignment):
        """Ask the engine for its weights version.

        Returns:
            Whether it differs from the version that was assumed.
        """
        context = self._context
        if not assignment.weights_version:
            return False
        endpoint = assignment.endpoint
        model = self._request.metadata.model
        try:
            report = context.dialect.read_engine_report(
                endpoint.address, REPORT_TIMEOUT_SECONDS
            )
        except errors.CarobwoodError as error:
            found, reason = 0, error.detail
        else:
            found, reason = report.weights_by_model.get(model, 0), ''
            context.engine_weights.record_models(
                endpoint, report.weights_by_model
            )
        events.emit(
            events.WEIGHTS_MISMATCH,
            request_id=self._request.metadata.request_id,
            endpoint=endpoint.id,
            believed=assignment.weights_version,
            found=found,
            reason=reason,
        )
        return (
            context.engine_weights.version(endpoint, model)
            != assignment.weights_version
        )

    def _reaches_another(self, endpoint):
        """Return whether another endpoint is reachable, or there is none."""
        others = [
            other
            for other in self._context.directory.serving_endpoints()
            if other.id != endpoint.id
        ]
        candidates = [
            other
            for other in others
            if not self._context.health.is_ejected(other)
        ]
        witnesses = random.sample(
            candidates, min(MAX_WITNESSES, len(candidates))
        )
        return not others or any(map(self._is_reachable, witnesses))

    def _is_reachable(self, endpoint):
        """Return whether an endpoint accepts a new connection."""
        error = self._find_connect_error(endpoint)
        return error is None or error.is_reset

    def _find_connect_error(self, endpoint):
        """Return the ``EndpointUnreachable`` of a new connection, or None."""
        try:
            connection = self._context.pool.acquire(
                endpoint.address,
                False,
                endpoint_prober.PROBE_TIMEOUT_SECONDS,
                endpoint.instance,
            )
        except errors.EndpointUnreachable as error:
            return error
        self._context.pool.release(
            endpoint.address, connection, None, endpoint.instance
        )
        return None

    def _note_version(self, assignment, head):
        if head.weights_version:
            self._context.engine_weights.record_version(
                assignment.endpoint,
                head.weights_version,
                self._request.metadata.model,
            )
