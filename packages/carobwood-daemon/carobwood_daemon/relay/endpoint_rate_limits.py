"""Rate limits that endpoints name in their answers, or that they imply.

An endpoint that says how many requests it can reject in a second, and rejects
one, has a limit from then on too: a part of that number, so that not even
rejections of all of them make it fall.

From the answer that names a limit on, each request to this incarnation of the
endpoint needs a permit from the fleet; see ``limits.endpoint_permits``. This
ends when the VM that grants permits says so, not when an answer names none.
Otherwise the VMs that hear of the end first would return all at once.
"""

import dataclasses
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events

from ..limits import endpoint_permits

# Time after an endpoint's last word on its limit from which it is tried, also
# while others have capacity, to learn whether the limit holds.
TRIAL_AFTER_SECONDS = 2.0
# Time without requests after a call for a permit that failed.
RETRY_SECONDS = 0.25
# Least time between two news to other VMs about an endpoint.
NEWS_PERIOD_SECONDS = 1.0
# Requests to a brittle endpoint that rejects some, as a share of rejections
# that it bears.
BRITTLE_SHARE = 0.5
# Status of a rejection for want of room.
NO_ROOM_STATUS = 503
# Time for which a limit is news to other VMs.
NEWS_LIFETIME_SECONDS = 10.0
# Time without a word after which an endpoint is forgotten, if other VMs
# heard of it and this one never asked for a permit.
UNUSED_SECONDS = 600.0


@dataclasses.dataclass(frozen=True)
class _Limit:
    """A rate limit of an endpoint.

    Attributes:
        incarnation: incarnation of the endpoint that it holds for.
        statement: the newest ``LimitStatement``.
        ask_at: time from which this VM may ask for a permit.
        is_asking: whether a call for a permit is in progress.
        told_at: time at which other VMs were told last.
    """

    incarnation: int
    statement: endpoint_permits.LimitStatement
    ask_at: float = 0.0
    is_asking: bool = False
    told_at: float = float('-inf')


class EndpointRateLimits:
    """Endpoints to which requests need permits, as this VM knows."""

    def __init__(
        self, request_permit, count=lambda name: None, clock=clocks.now
    ):
        """Create an empty table.

        Args:
            request_permit: called with an ``Endpoint`` and a
                ``LimitStatement``; returns a ``PermitDecision`` or raises
                ``LinkFailed``.
            count: called with the name of a counter.
            clock: function that returns the monotonic time in seconds.
        """
        self._request_permit = request_permit
        self._count = count
        self._clock = clock
        self._lock = threading.Lock()
        self._limits_by_id = {}
        self._listeners = []

    def on_change(self, listener):
        """Call ``listener(endpoint_id)`` when a limit is news to others."""
        self._listeners.append(listener)

    def note_head(self, endpoint, head, sent_at):
        """Record what the head of an answer says.

        Answers can overtake each other. One that names no limit ends a
        limit only if its request was sent after the endpoint had named it.

        Args:
            endpoint: the ``Endpoint`` that has answered.
            head: the ``ResponseHead``.
            sent_at: when the request was sent, or None if that is unknown.
        """
        now = self._clock()
        known = self._find(endpoint)
        is_limited, per_second = _read_limit(head)
        if is_limited:
            if per_second is None:
                self._log(endpoint.id, endpoint.incarnation, None, 'malformed')
                return
            statement = endpoint_permits.LimitStatement(per_second, now)
            self._note(endpoint.id, endpoint.incarnation, statement, 'answer')
            if head.brittleness is not None:
                self._tell_grantor(endpoint, statement)
        elif known is not None and sent_at is not None:
            if sent_at > known.statement.said_at:
                statement = endpoint_permits.LimitStatement(None, now)
                self._note(
                    endpoint.id, endpoint.incarnation, statement, 'answer'
                )

    def merge_news(self, endpoint_id, incarnation, statement):
        """Record a limit that an endpoint has named to another VM.

        Args:
            endpoint_id: id of the endpoint.
            incarnation: incarnation of the endpoint.
            statement: the ``LimitStatement``.
        """
        known = self._limits_by_id.get(endpoint_id)
        if known is not None:
            if incarnation < known.incarnation:
                return
            age = statement.said_at - known.statement.said_at
            is_same = incarnation == known.incarnation
            if is_same and age < NEWS_PERIOD_SECONDS:
                return
        self._note(endpoint_id, incarnation, statement, 'vm')

    def news(self, endpoint_id):
        """Return (incarnation, ``LimitStatement``) for other VMs, or None."""
        known = self._limits_by_id.get(endpoint_id)
        if known is None or known.statement.per_second is None:
            return None
        age = self._clock() - known.statement.said_at
        if age > NEWS_LIFETIME_SECONDS:
            return None
        return known.incarnation, known.statement

    def seconds_until_next(self, endpoint):
        """Return the seconds until a permit may be asked for, 0.0 for now."""
        known = self._find(endpoint)
        if known is None:
            return 0.0
        return max(0.0, known.ask_at - self._clock())

    def is_limited(self, endpoint):
        """Return whether requests to an endpoint need permits."""
        return self._find(endpoint) is not None

    def is_spared(self, endpoint):
        """Return whether an endpoint is used only if no other can be."""
        known = self._find(endpoint)
        if known is None:
            return False
        age = self._clock() - known.statement.said_at
        return age < TRIAL_AFTER_SECONDS

    def acquire(self, endpoint):
        """Acquire the permit to send one request to an endpoint.

        Returns:
            Whether the request may be sent now.
        """
        with self._lock:
            known = self._find(endpoint)
            if known is None:
                return True
            if known.is_asking or known.ask_at > self._clock():
                return False
            self._limits_by_id[endpoint.id] = dataclasses.replace(
                known, is_asking=True
            )
        try:
            decision = self._request_permit(endpoint, known.statement)
        except errors.LinkFailed:
            decision = endpoint_permits.PermitDecision(
                False, False, RETRY_SECONDS, known.statement
            )
            self._count('permits.failed')
        except BaseException:
            self._stop_asking(endpoint)
            raise
        self._apply(endpoint, decision)
        return decision.is_granted

    def _tell_grantor(self, endpoint, statement):
        """Tell the VM that grants permits at once, not with the next request.

        The permit that it may grant is not used.
        """
        try:
            self._request_permit(endpoint, statement)
        except errors.LinkFailed:
            self._count('permits.failed')

    def _stop_asking(self, endpoint):
        with self._lock:
            known = self._find(endpoint)
            if known is not None:
                self._limits_by_id[endpoint.id] = dataclasses.replace(
                    known, is_asking=False
                )

    def _apply(self, endpoint, decision):
        outcome = 'granted' if decision.is_granted else 'denied'
        self._count(f'permits.{outcome}')
        with self._lock:
            known = self._find(endpoint)
            if known is None:
                return
            statement = max(
                known.statement,
                decision.statement,
                key=lambda statement: statement.said_at,
            )
            is_over = decision.is_over and statement.per_second is None
            if is_over:
                del self._limits_by_id[endpoint.id]
            else:
                self._limits_by_id[endpoint.id] = dataclasses.replace(
                    known,
                    statement=statement,
                    ask_at=self._clock() + decision.wait,
                    is_asking=False,
                )
        if is_over:
            self._log(endpoint.id, endpoint.incarnation, None, 'permits')

    def _note(self, endpoint_id, incarnation, statement, source):
        now = self._clock()
        with self._lock:
            self._forget_unused(now)
            known = self._limits_by_id.get(endpoint_id)
            if known is None or known.incarnation != incarnation:
                limit = _Limit(incarnation, statement)
                is_changed = True
            else:
                limit = dataclasses.replace(known, statement=statement)
                before = known.statement.per_second
                is_changed = before != statement.per_second
            is_news = is_changed and statement.per_second is not None
            is_news &= now - limit.told_at >= NEWS_PERIOD_SECONDS
            if is_news:
                limit = dataclasses.replace(limit, told_at=now)
            self._limits_by_id[endpoint_id] = limit
        if is_changed:
            self._log(endpoint_id, incarnation, statement.per_second, source)
        if is_news:
            for listener in self._listeners:
                listener(endpoint_id)

    def _forget_unused(self, now):
        unused = [
            endpoint_id
            for endpoint_id, limit in self._limits_by_id.items()
            if now - max(limit.statement.said_at, limit.ask_at)
            > UNUSED_SECONDS
        ]
        for endpoint_id in unused:
            del self._limits_by_id[endpoint_id]

    def _find(self, endpoint):
        known = self._limits_by_id.get(endpoint.id)
        if known is None or known.incarnation != endpoint.incarnation:
            return None
        return known

    @staticmethod
    def _log(endpoint_id, incarnation, per_second, source):
        events.emit(
            events.ENDPOINT_RATE_LIMIT,
            endpoint=endpoint_id,
            incarnation=incarnation,
            per_second=per_second,
            source=source,
        )


def _read_limit(head):
    """Return whether an answer limits requests, and to how many a second.

    The number is None if it cannot be read.
    """
    limits = []
    if head.rate_limit is not None:
        limits.append(head.rate_limit.per_second)
    is_rejected = head.has_not_run and head.status == NO_ROOM_STATUS
    if head.brittleness is not None and is_rejected:
        bound = head.brittleness.rejections_per_second
        limits.append(None if bound is None else BRITTLE_SHARE * bound)
    known = [limit for limit in limits if limit is not None]
    return bool(limits), min(known) if known else None
