"""Passive health checks: endpoint health from the results of requests.

Load pattern: an endpoint fails part of its requests or no longer answers,
while its health check and its announcements still look good. Dozens of
requests arrive at each VM before the endpoint is announced as gone.

An unreachable endpoint is ejected: it gets no requests until a probe has
reached it. So each VM loses one request to it, not one per retry interval.
"""

import dataclasses
import threading

from carobwood import clocks
from carobwood import events

# Weight of the newest result in the failure rate, a moving average.
NEWEST_WEIGHT = 0.25
# Time in which a failure rate halves without new results.
HALF_LIFE_SECONDS = 4.0
# Delay of the first probe of an unreachable endpoint; it doubles up to the
# maximum with each probe that fails.
FIRST_PROBE_DELAY_SECONDS = 0.1
MAX_PROBE_DELAY_SECONDS = 2.0
# Time after a probe is due from which the endpoint gets requests again even
# if the probe has returned no result.
PROBE_GRACE_SECONDS = 1.0
# Time for which an endpoint that refused a request is ejected.
REFUSAL_EJECTION_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class _HealthRecord:
    """Recent results of one incarnation of an endpoint.

    Attributes:
        endpoint: the ``Endpoint``.
        failure_rate: decaying share of failed requests.
        updated_at: time of the last result.
        ejected_until: time from which it gets requests again.
        probe_delay: seconds between the last failure to reach it and the
            next probe, or 0.0 if it is reachable.
        next_probe_at: time of the next probe, or None if it is reachable
            or a probe is running.
    """

    endpoint: object
    failure_rate: float = 0.0
    updated_at: float = 0.0
    ejected_until: float = 0.0
    probe_delay: float = 0.0
    next_probe_at: float | None = None


class EndpointHealth:
    """Failure rates and ejections of endpoints."""

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._records_by_endpoint = {}

    def note_result(self, endpoint, failed):
        """Record the result of a request that was sent to an endpoint."""
        now = self._clock()
        with self._lock:
            rate = self._rate(endpoint, now)
            rate += NEWEST_WEIGHT * (float(failed) - rate)
            record = self._record_of(endpoint) or _HealthRecord(endpoint)
            if not failed:
                record = _HealthRecord(endpoint)
            self._records_by_endpoint[endpoint.id] = dataclasses.replace(
                record, failure_rate=rate, updated_at=now
            )

    def note_unreachable(self, endpoint):
        """Eject an endpoint until a probe reaches it."""
        with self._lock:
            record = self._record_of(endpoint)
            if record is not None and record.probe_delay:
                return
            self._eject(endpoint, FIRST_PROBE_DELAY_SECONDS, 'unreachable')

    def note_still_unreachable(self, endpoint):
        """Double the probe delay after a probe has failed.

        An endpoint that was not ejected before is.
        """
        with self._lock:
            record = self._record_of(endpoint)
            if record is None:
                return
            probe_delay = min(MAX_PROBE_DELAY_SECONDS, 2 * record.probe_delay)
            probe_delay = probe_delay or FIRST_PROBE_DELAY_SECONDS
            self._eject(endpoint, probe_delay, 'probe')

    def note_reachable(self, endpoint):
        """End the ejection of an endpoint that a probe has reached."""
        with self._lock:
            record = self._record_of(endpoint)
            if record is None or not record.probe_delay:
                return
            self._records_by_endpoint[endpoint.id] = dataclasses.replace(
                record,
                ejected_until=0.0,
                probe_delay=0.0,
                next_probe_at=None,
            )
        events.emit(
            events.ENDPOINT_REGAINED,
            endpoint=endpoint.id,
            incarnation=endpoint.incarnation,
            pause=record.probe_delay,
        )

    def request_probe(self, endpoint):
        """Have an endpoint probed now, without ejecting it before."""
        with self._lock:
            record = self._record_of(endpoint) or _HealthRecord(endpoint)
            self._records_by_endpoint[endpoint.id] = dataclasses.replace(
                record, next_probe_at=self._clock()
            )

    def hasten_probes(self):
        """Have all ejected endpoints probed now."""
        now = self._clock()
        with self._lock:
            for endpoint_id, record in self._records_by_endpoint.items():
                if record.next_probe_at is not None:
                    self._records_by_endpoint[endpoint_id] = (
                        dataclasses.replace(record, next_probe_at=now)
                    )

    def pop_due_probes(self):
        """Return the endpoints to be probed now, each once per delay."""
        now = self._clock()
        with self._lock:
            due = [
                record
                for record in self._records_by_endpoint.values()
                if record.next_probe_at is not None
                and record.next_probe_at <= now
            ]
            for record in due:
                self._records_by_endpoint[record.endpoint.id] = (
                    dataclasses.replace(record, next_probe_at=None)
                )
        return [record.endpoint for record in due]

    def note_refused(self, endpoint):
        """Eject an endpoint until its queue may have free capacity."""
        now = self._clock()
        with self._lock:
            record = self._record_of(endpoint)
            until = now + REFUSAL_EJECTION_SECONDS
            self._records_by_endpoint[endpoint.id] = dataclasses.replace(
                record or _HealthRecord(endpoint),
                failure_rate=self._rate(endpoint, now),
                updated_at=now,
                ejected_until=max(
                    until, record.ejected_until if record else 0
                ),
            )
        self._log_ejection(
            endpoint, 'refused', REFUSAL_EJECTION_SECONDS, record, now
        )

    def failure_rate(self, endpoint):
        """Return the decaying share of failed requests, 0.0 to 1.0."""
        return self._rate(endpoint, self._clock())

    def is_ejected(self, endpoint):
        """Return whether an endpoint gets no requests at present."""
        record = self._record_of(endpoint)
        return record is not None and self._clock() < record.ejected_until

    def _eject(self, endpoint, probe_delay, cause):
        now = self._clock()
        record = self._record_of(endpoint)
        self._records_by_endpoint[endpoint.id] = _HealthRecord(
            endpoint,
            max(self._rate(endpoint, now), NEWEST_WEIGHT),
            now,
            now + probe_delay + PROBE_GRACE_SECONDS,
            probe_delay,
            now + probe_delay,
        )
        self._log_ejection(endpoint, cause, probe_delay, record, now)

    @staticmethod
    def _log_ejection(endpoint, cause, seconds, record, now):
        events.emit(
            events.ENDPOINT_PAUSED,
            endpoint=endpoint.id,
            incarnation=endpoint.incarnation,
            cause=cause,
            seconds=seconds,
            failure_rate=round(record.failure_rate, 3) if record else 0.0,
            evidence_age=round(now - record.updated_at, 3) if record else None,
        )

    def _record_of(self, endpoint):
        record = self._records_by_endpoint.get(endpoint.id)
        if record is None:
            return None
        if record.endpoint.incarnation != endpoint.incarnation:
            return None
        return record

    def _rate(self, endpoint, now):
        record = self._record_of(endpoint)
        if record is None:
            return 0.0
        age = now - record.updated_at
        return record.failure_rate * 0.5 ** (age / HALF_LIFE_SECONDS)
