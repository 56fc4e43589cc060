"""A silence that the streams of several engines enter at the same moment."""

import collections
import contextlib
import threading

from carobwood_daemon.relay import silence_failover
import fleet as fleets
import relay_test_fleet


class CommonSilence:
    """A silence that begins once a number of streams are under way.

    Attributes:
        endpoint_ids: ids of the endpoints that fall silent.
    """

    def __init__(self, stream_count, engines):
        """Create the silence.

        Args:
            stream_count: number of the streams that fall silent.
            engines: the ``FakeEngine`` of each of them.
        """
        self.endpoint_ids = frozenset(engine.name for engine in engines)
        for engine in engines:
            engine.common_silence = self
        self._stream_count = stream_count
        self._streams_under_way = 0
        self._lock = threading.Lock()
        self._begun = threading.Event()
        self._ended = threading.Event()

    def add_stream(self):
        """Note that a stream has sent its first event."""
        with self._lock:
            self._streams_under_way += 1
            if self._streams_under_way == self._stream_count:
                self._begun.set()

    @property
    def has_ended(self):
        """Whether it has ended."""
        return self._ended.is_set()

    def has_begun(self, seconds):
        """Wait for its begin, at most for a time, and tell whether it has."""
        return self._begun.wait(seconds)

    def await_end(self):
        """Wait until it ends, in bounds."""
        self._ended.wait(relay_test_fleet.WAIT_SECONDS)

    def end(self):
        """Let all streams go on, and later ones begin no silence."""
        self._begun.set()
        self._ended.set()


class Looks:
    """Looks for another endpoint, which wait until all are silent.

    One that an endpoint's late event brings about before that would rightly
    find another endpoint.
    """

    def __init__(self, common):
        """Create the looks within a ``CommonSilence``."""
        self._common = common
        self._counts_by_failover = collections.Counter()

    def await_each(self, request_count, look_count):
        """Wait until the VM has looked so often for that many requests."""
        fleets.wait_until(
            lambda: self._requests_with(look_count) >= request_count,
            f'{look_count} looks for each request',
        )

    def _requests_with(self, look_count):
        counts = list(self._counts_by_failover.values())
        return sum(count >= look_count for count in counts)

    @contextlib.contextmanager
    def within_silence(self, failover):
        """Begin a look once all are silent, and count it at its end."""
        activity = failover._context.activity
        fleets.wait_until(
            lambda: (
                self._common.has_ended
                or activity.silent_ids() >= self._common.endpoint_ids
            ),
            'all endpoints to be silent',
        )
        try:
            yield
        finally:
            self._counts_by_failover[failover] += 1


def watch_looks(monkeypatch, common):
    """Return the ``Looks`` of all VMs of this process."""
    looks = Looks(common)
    look = silence_failover.SilenceFailover.look

    def look_within_silence(failover, *arguments):
        with looks.within_silence(failover):
            look(failover, *arguments)

    monkeypatch.setattr(
        silence_failover.SilenceFailover, 'look', look_within_silence
    )
    return looks
