"""Permits to send requests to endpoints that name a rate limit.

Load pattern: an engine in need takes one request in a second or less from
all VMs together. Hundreds of VMs learn of that from answers, at different
moments, and each has more requests for it. An equal share of each VM would be
one request in minutes, and shares that were not used for a while would all be
used in the same moment.

One VM, the grantor, therefore gives out the permits of an endpoint, one for
each request. VMs that get none are told when to ask again, so that all of
them together ask about as often as there are permits.
"""

import collections
import dataclasses
import math
import threading

from carobwood import clocks

from . import token_bucket

# Fraction of the limit that one VM grants. Two VMs that both believe to be
# the grantor then stay within 1.5 times the limit together.
USED_FRACTION = 0.75
# Permits that may be saved up while none is asked for.
BURST_PERMITS = 2.0
# An endpoint that takes no requests gets some, to learn when that ends.
MIN_PERMITS_PER_SECOND = 0.2
# Longest time for which a VM is told to wait.
MAX_WAIT_SECONDS = 5.0
# VMs that ask per permit. Some that were told to wait do not come back,
# because their requests went elsewhere.
ASKERS_PER_PERMIT = 2.0
# After the end of a limit the rate doubles in each such time, because VMs
# that all return in the same moment would put the endpoint in need again.
RAMP_DOUBLING_SECONDS = 1.0
# Least rate at the begin of the ramp, in permits per second.
RAMP_START_PER_SECOND = 2.0
# Time from the end of a limit until no permit is needed any more.
RAMP_SECONDS = 4.0
# Time over which the permits of a ramp are counted, which may be fewer than
# its rate allows: VMs that wait ask late.
GRANTED_SECONDS = 1.0
# A limit that comes during a ramp tells about how many permits are borne.
# Later ramps are fast up to this share of them, and slow beyond.
CEILING_SHARE = 0.5
# Growth of the rate beyond that, per second.
CEILING_GROWTH = 1.05
# Time without a request after which an endpoint is forgotten.
IDLE_SECONDS = 120.0


@dataclasses.dataclass(frozen=True)
class LimitStatement:
    """What an answer of an endpoint said about its rate limit.

    Attributes:
        per_second: requests per second from all VMs together, or None if
            the endpoint named no limit any more.
        said_at: time of the answer by ``clocks.now``, in seconds.
    """

    per_second: float | None
    said_at: float


@dataclasses.dataclass(frozen=True)
class PermitDecision:
    """What a VM is told that asks for a permit.

    Attributes:
        is_granted: whether it may send one request now.
        is_over: whether requests to the endpoint need no permit any more.
        wait: seconds after which it may ask again.
        statement: the newest ``LimitStatement`` that the grantor knows.
    """

    is_granted: bool
    is_over: bool
    wait: float
    statement: LimitStatement


class _Account:
    """Permits of one incarnation of an endpoint.

    Attributes:
        statement: the newest ``LimitStatement``.
        ended_at: time of the first answer that named no limit any more, or
            None while there is a limit.
        ramp_start: rate at the begin of a ramp, in permits per second.
        ceiling: rate up to which a ramp is fast, or None if none has ended
            early.
        ceiling_at: time at which the last ramp has ended early.
        denied_at: time at which a request for a permit was last denied.
        bucket: the ``TokenBucket`` of the permits.
        granted_at: times of the permits in the last ``GRANTED_SECONDS`` in
            which there were any, the oldest first.
        asked_at: time of the last request for a permit.
        return_at_by_vm: when the VMs that have to wait will ask again.
    """

    def __init__(self, statement, clock):
        self.statement = statement
        self.ended_at = None
        self.ramp_start = RAMP_START_PER_SECOND
        self.ceiling = None
        self.ceiling_at = 0.0
        self.denied_at = float('-inf')
        self.bucket = token_bucket.TokenBucket(0.0, 0.0, clock)
        self.granted_at = collections.deque()
        self.asked_at = 0.0
        self.return_at_by_vm = {}
        self.update(statement)

    def update(self, statement):
        """Take over a statement that is not older than the known one."""
        self.statement = statement
        if statement.per_second is not None:
            if self.ended_at is not None:
                self.ceiling = CEILING_SHARE * self._granted_rate()
                self.ceiling_at = statement.said_at
            self.ended_at = None
        elif self.ended_at is None:
            self.ended_at = statement.said_at

    def note_granted(self, now):
        """Record that a permit was granted."""
        self.granted_at.append(now)
        while self.granted_at[0] < now - GRANTED_SECONDS:
            self.granted_at.popleft()

    def _granted_rate(self):
        """Return the permits per second that were granted in a ramp.

        After its end none are granted; then it is the rate at its end.
        """
        granted = len(self.granted_at) / GRANTED_SECONDS
        return min(self.bucket.rate, max(self.ramp_start, granted))

    def is_over(self, now):
        """Return whether requests need no permit any more."""
        if self.ended_at is None or now - self.ended_at < RAMP_SECONDS:
            return False
        # With a ceiling, more requests than it lets pass would all return.
        return self.ceiling is None or now - self.denied_at >= RAMP_SECONDS

    def ramp_rate(self, now):
        """Return the rate during a ramp, in permits per second."""
        seconds = max(0.0, now - self.ended_at)
        doublings = seconds / RAMP_DOUBLING_SECONDS
        rate = self.ramp_start * math.pow(2.0, doublings)
        if self.ceiling is None:
            return rate
        age = max(0.0, now - self.ceiling_at)
        return min(rate, self.ceiling * math.pow(CEILING_GROWTH, age))


class PermitTable:
    """Permits that this VM grants, by endpoint and incarnation.

    An account begins without permits, so that a change of the grantor adds
    none.
    """

    def __init__(self, clock=clocks.now):
        """Create an empty table.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._accounts_by_incarnation = {}

    def request(self, endpoint_id, incarnation, vm_id, statement):
        """Decide on a VM's request for one permit.

        Args:
            endpoint_id: id of the endpoint.
            incarnation: the endpoint's incarnation.
            vm_id: id of the VM that asks.
            statement: the newest ``LimitStatement`` that it knows.

        Returns:
            The ``PermitDecision``.
        """
        now = self._clock()
        with self._lock:
            self._forget_idle(now)
            key = (endpoint_id, incarnation)
            account = self._accounts_by_incarnation.get(key)
            if account is None:
                account = _Account(statement, self._clock)
                self._accounts_by_incarnation[key] = account
            account.asked_at = now
            if statement.said_at > account.statement.said_at:
                account.update(statement)
            return self._decide(account, vm_id, now)

    def _decide(self, account, vm_id, now):
        statement = account.statement
        if account.is_over(now):
            return PermitDecision(True, True, 0.0, statement)
        self._set_rate(account, now)
        wait = account.bucket.take(1.0)
        if wait == 0.0:
            account.return_at_by_vm.pop(vm_id, None)
            account.note_granted(now)
            return PermitDecision(True, False, 0.0, statement)
        wait = min(
            MAX_WAIT_SECONDS, max(wait, self._queueing(account, vm_id, now))
        )
        account.return_at_by_vm[vm_id] = now + wait
        account.denied_at = now
        return PermitDecision(False, False, wait, statement)

    @staticmethod
    def _set_rate(account, now):
        if account.ended_at is None:
            limit = account.statement.per_second
            rate = max(MIN_PERMITS_PER_SECOND, USED_FRACTION * limit)
            account.ramp_start = max(RAMP_START_PER_SECOND, rate)
        else:
            rate = account.ramp_rate(now)
        account.bucket.resize(rate, BURST_PERMITS)

    @staticmethod
    def _queueing(account, vm_id, now):
        """Return the seconds until the VMs that wait have had their turn."""
        account.return_at_by_vm = {
            other_id: return_at
            for other_id, return_at in account.return_at_by_vm.items()
            if return_at > now and other_id != vm_id
        }
        askers = 1 + len(account.return_at_by_vm)
        return askers / (ASKERS_PER_PERMIT * account.bucket.rate)

    def _forget_idle(self, now):
        idle = [
            key
            for key, account in self._accounts_by_incarnation.items()
            if now - account.asked_at > IDLE_SECONDS
        ]
        for key in idle:
            del self._accounts_by_incarnation[key]
