"""Which endpoints have just shown that they are awake.

Load pattern: all endpoints of a service fall silent at the same moment, with
dozens of requests in flight. One that is moved to an endpoint that is silent
too loses the attempt that would have gone on a moment later.

An endpoint that processes a prompt sends nothing for a while either. So it is
asked for something that takes none of its capacity. All requests of the VM
share the answer.
"""

import collections
import enum
import math
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import threads

# Time for which the result of a check holds.
VALID_SECONDS = 0.25
# Results that are kept.
MAX_CHECKS = 1024


class Liveness(enum.Enum):
    """What is known of an endpoint.

    Attributes:
        PENDING: it has been asked and has not answered yet.
        AWAKE: it has answered, or has just sent something else.
        UNREADY: it has answered, but not as one that is ready for requests.
        SILENT: it has not answered in time.
        UNKNOWN: there is nothing that it could be asked for.
    """

    PENDING = 'pending'
    AWAKE = 'awake'
    UNREADY = 'unready'
    SILENT = 'silent'
    UNKNOWN = 'unknown'

    @property
    def has_answered(self):
        """Whether the endpoint has shown that it is not silent."""
        return self in (Liveness.AWAKE, Liveness.UNREADY)


class LivenessCheck:
    """A question to one endpoint.

    Attributes:
        liveness: the ``Liveness`` that it has shown.
        ended_at: monotonic time at which the result was known, or None.
    """

    def __init__(self):
        self.liveness = Liveness.PENDING
        self.ended_at = None
        self._ended = threading.Event()

    def end(self, liveness, now):
        """Record the result."""
        self.liveness = liveness
        self.ended_at = now
        self._ended.set()

    def wait(self, seconds):
        """Wait for the result; return whether it is known."""
        return self._ended.wait(seconds)

    def is_valid(self, since):
        """Tell whether the result is awaited, or not older than a time."""
        return self.ended_at is None or self.ended_at >= since


class LivenessChecks:
    """Asks endpoints whether they answer, and keeps the results."""

    def __init__(self, ask, clock=clocks.now):
        """Create the table.

        Args:
            ask: function that takes an endpoint and the subject of the
                check, and returns whether the endpoint has answered. It
                may raise ``EngineCallFailed``, which tells that as well.
            clock: function that returns the monotonic time in seconds.
        """
        self._ask = ask
        self._clock = clock
        self._lock = threading.Lock()
        # The newest ``LivenessCheck`` by id of the endpoint, oldest first.
        self._checks_by_id = collections.OrderedDict()

    def last_failed_at(self, endpoint):
        """Return when an endpoint has not passed its last check.

        Returns:
            The monotonic time, or minus infinity if it has passed or was not
            asked.
        """
        failures = (Liveness.SILENT, Liveness.UNREADY)
        with self._lock:
            check = self._checks_by_id.get(endpoint.id)
        if check is None or check.liveness not in failures:
            return -math.inf
        return check.ended_at

    def silent_ids(self):
        """Return the ids of the endpoints that have just not answered."""
        since = self._clock() - VALID_SECONDS
        with self._lock:
            return frozenset(
                endpoint_id
                for endpoint_id, check in self._checks_by_id.items()
                if check.liveness is Liveness.SILENT and check.is_valid(since)
            )

    def check(self, endpoint, subject=None, since=-math.inf):
        """Return the newest ``LivenessCheck``, which may have to be awaited.

        Args:
            endpoint: the ``Endpoint``.
            subject: what else the question depends on.
            since: monotonic time before which a result does not count.
        """
        with self._lock:
            since = max(since, self._clock() - VALID_SECONDS)
            check = self._checks_by_id.get(endpoint.id)
            if check is not None and check.is_valid(since):
                return check
            check = self._add_check(endpoint.id)
        threads.StepThread(
            lambda: self._run(check, endpoint, subject),
            f'liveness-{endpoint.id}',
        ).start()
        return check

    def _add_check(self, endpoint_id):
        check = LivenessCheck()
        self._checks_by_id[endpoint_id] = check
        self._checks_by_id.move_to_end(endpoint_id)
        while len(self._checks_by_id) > MAX_CHECKS:
            self._checks_by_id.popitem(last=False)
        return check

    def _run(self, check, endpoint, subject):
        liveness = Liveness.SILENT
        try:
            if self._ask(endpoint, subject):
                liveness = Liveness.AWAKE
        except errors.EngineCallFailed as error:
            if error.has_answered:
                liveness = Liveness.UNREADY
        except errors.CarobwoodError:
            # Whoever awaits the check learns it from its result.
            pass
        finally:
            check.end(liveness, self._clock())


def ended_check(liveness):
    """Return a ``LivenessCheck`` for what is known without a question."""
    check = LivenessCheck()
    check.end(liveness, clocks.now())
    return check
