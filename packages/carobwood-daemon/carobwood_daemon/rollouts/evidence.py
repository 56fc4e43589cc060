"""What the requests to the software versions of a service came to."""

import bisect
import dataclasses
import operator

# Upper bounds in seconds of the buckets of times and pauses; the last bucket
# has none. Neighbours differ by a factor of 1.5, so that answers that take
# several times as long are a few buckets apart.
BUCKET_BOUNDS_SECONDS = tuple(0.005 * 1.5**power for power in range(20))
BUCKETS = len(BUCKET_BOUNDS_SECONDS) + 1


def bucket_of(seconds):
    """Return the number of the bucket of a time in seconds."""
    return bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)


@dataclasses.dataclass(frozen=True)
class RouteResults:
    """Results of the requests to one version of a service on one route.

    All counts are totals since the rollout began, so that a report that
    arrives twice counts once.

    Attributes:
        sent: requests sent there, whatever became of them.
        succeeded: answers that were whole and not failures.
        failed: answers that were failures, wrong or broken off.
        times: number of answers in each bucket of the time to the first
            event of a stream, or to the end of another answer.
        pauses: number of streams in each bucket of their longest pause.
        in_flight: requests that are at an endpoint now; no total.
    """

    sent: int = 0
    succeeded: int = 0
    failed: int = 0
    times: tuple[int, ...] = (0,) * BUCKETS
    pauses: tuple[int, ...] = (0,) * BUCKETS
    in_flight: int = 0

    def plus(self, other):
        """Return the sum of two results."""
        return RouteResults(
            self.sent + other.sent,
            self.succeeded + other.succeeded,
            self.failed + other.failed,
            _sums(self.times, other.times),
            _sums(self.pauses, other.pauses),
            self.in_flight + other.in_flight,
        )


def _sums(counts, others):
    return tuple(map(operator.add, counts, others))
