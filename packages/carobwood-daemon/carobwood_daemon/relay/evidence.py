"""What the result of a try says of its endpoint.

Load pattern: all VMs restart and know engines' weights from before a
change of them; dozens of requests come at once, and each of them would
be turned away by one engine after the other, or by the same one, until
the allowance of repeats is used up.

An engine that turns a request away for its weights is asked which it
has, before the request goes anywhere again.
"""

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import probation

# Time for an engine to tell its weights while a request waits for it.
REPORT_SECONDS = 0.3


class Evidence:
    """Takes over what tries of one request have shown."""

    def __init__(self, parts, request):
        self._parts = parts
        self._request = request

    def note_answered(self, place, head):
        """Note that an endpoint has answered."""
        self._parts.health.note_result(place.endpoint, head.status >= 500)
        self._parts.suspects.clear(self._request.fingerprint)
        self._note_version(place, head)

    def note_unreachable(self, place):
        """Note that an endpoint accepted no connection."""
        self._parts.health.note_unreachable(place.endpoint)
        self._parts.pool.drop(place.endpoint.address)

    def note_not_run(self, place, head):
        """Note that an endpoint has turned the request away."""
        self._note_version(place, head)
        if head.status != 421:
            self._parts.health.note_refused(place.endpoint)
        elif head.endpoint_id not in ('', place.endpoint.id):
            # Another endpoint has its address, so it is gone.
            self._parts.directory.drop_endpoint(place.endpoint)
        elif not self._ask_weights(place):
            self._parts.health.note_refused(place.endpoint)

    def note_failed(self, place, error):
        """Note that the request may have run and failed."""
        endpoint = place.endpoint
        self._parts.health.note_result(endpoint, True)
        if not isinstance(error, errors.EndpointFailed):
            return
        if self._has_crashed(endpoint):
            self.note_unreachable(place)
            crash = f'{endpoint.id}/{endpoint.incarnation}'
            self._parts.suspects.merge(
                {(self._request.fingerprint, crash): clocks.now()}
            )

    def _ask_weights(self, place):
        """Return whether the engine has other weights than was believed."""
        parts = self._parts
        if not place.weights_version:
            return False
        endpoint = place.endpoint
        try:
            report = parts.dialect.read_report(
                endpoint.address, REPORT_SECONDS
            )
        except errors.CarobwoodError as error:
            found, reason = 0, error.detail
        else:
            model = self._request.hints.model
            found, reason = report.weights_by_model.get(model, 0), ''
            parts.weights.note_version(endpoint, found)
        events.emit(
            events.WEIGHTS_MISMATCH,
            request_id=self._request.hints.request_id,
            endpoint=endpoint.id,
            believed=place.weights_version,
            found=found,
            reason=reason,
        )
        return parts.weights.version(endpoint) != place.weights_version

    def _has_crashed(self, endpoint):
        try:
            probe = self._parts.pool.take(
                endpoint.address, False, probation.PROBE_SECONDS
            )
        except errors.EndpointUnreachable:
            return True
        self._parts.pool.give_back(endpoint.address, probe, None)
        return False

    def _note_version(self, place, head):
        if head.weights_version:
            self._parts.weights.note_version(
                place.endpoint, head.weights_version
            )
