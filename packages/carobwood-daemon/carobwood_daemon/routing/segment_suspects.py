"""Detection of prompt segments that crash the engines that run them.

Load pattern: one shared segment crashes each engine that begins to answer a
prompt with it. The requests differ in all else and arrive at all VMs, so that
none of them is a suspect by itself. Sound requests share their customer and
their other segments, and many of them are in flight on the engines that
crash.

A crash gives a strike to each shared segment of each request that the engine
had not begun to answer. A whole answer to a prompt with the segment voids the
strikes it has. The segments that explain most of the crashes are culprits
once these came from ``MIN_CRASHES`` crashes and as many different requests.
Requests that have them are refused, and after a while one is tried: if it is
answered, the segment is sound again.

Strikes are kept and replicated by ``crash_suspects``.
"""

import dataclasses
import hashlib
import re
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import crash_suspects

# Crashes, and different requests in flight at them, that make a culprit.
MIN_CRASHES = 3
# Time from the first of these crashes to the last. Engines that lose power
# together crash together, with the same segments in flight on all of them.
MIN_SPAN_SECONDS = 0.5
# Time from the last crash until a request is tried; doubles with each
# crash beyond ``MIN_CRASHES``.
FIRST_TRIAL_DELAY_SECONDS = 30.0
MAX_TRIAL_DELAY_SECONDS = 480.0
# Time to the next trial if the last one has had no result.
TRIAL_TIMEOUT_SECONDS = 30.0
# Age from which a strike counts. Until then the strikes of other VMs, and
# answers that void it, may be on their way: a segment in flight beside a
# culprit would have more strikes than the culprit.
SETTLE_SECONDS = 0.6
# Interval in which culprits are determined anew while strikes settle.
REFRESH_SECONDS = 0.25
# The same interval otherwise, when strikes only expire.
IDLE_REFRESH_SECONDS = 10.0

# Endpoint, fingerprint and milliseconds in flight, as a strike names them.
_CRASH = re.compile(r'(?P<endpoint>.+)/(?P<request>[0-9a-f]+)/(?P<ms>\d{1,9})')
_DIGEST_BYTES = 8
_FINGERPRINT_CHARS = 16
_MAX_LOGGED_CHARS = 64


@dataclasses.dataclass(frozen=True)
class SegmentStrike:
    """A request with a segment was in flight when its endpoint crashed.

    Attributes:
        segment: key of the segment.
        endpoint: id and incarnation of the endpoint, as one string.
        request: fingerprint of the request, abbreviated.
        sent_at: when the request was sent, by ``clocks.now`` in seconds.
        struck_at: when its failure was seen. The crash lies between the two.
    """

    segment: str
    endpoint: str
    request: str
    sent_at: float
    struck_at: float


@dataclasses.dataclass(frozen=True)
class Culprit:
    """Segments of which at least one crashes engines.

    Attributes:
        segments: keys of segments that the same strikes implicate. Only
            requests with all of them have crashed engines.
        crashes: number of crashes that they explain.
        last_crash_at: time of the last of these, in seconds.
    """

    segments: frozenset[str]
    crashes: int
    last_crash_at: float

    @property
    def trial_at(self):
        """Time from which a request with the segments may be tried."""
        factor = 2 ** (self.crashes - MIN_CRASHES)
        delay = min(
            FIRST_TRIAL_DELAY_SECONDS * factor, MAX_TRIAL_DELAY_SECONDS
        )
        return self.last_crash_at + delay

    @property
    def key(self):
        """Bytes that identify the segments."""
        return ' '.join(sorted(self.segments)).encode('ascii')


def segment_key(model, segment_id):
    """Return the key of a segment of prompts for a model."""
    text = f'{model}/{segment_id}'.encode('latin-1', 'replace')
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES)
    return crash_suspects.SEGMENT_PREFIX + digest.hexdigest()


def find_culprits(strikes):
    """Return the culprits that explain most crashes, with no crash twice.

    A segment that was only in flight beside a culprit shares the culprit's
    crashes, so that no crash is left that speaks against it.

    Args:
        strikes: ``SegmentStrike`` records that no answer has voided.

    Returns:
        List of ``Culprit``, the one with the most crashes first.
    """
    crashes_by_segment = _crashes_by_segment(strikes)
    culprits = []
    while True:
        culprit = _most_struck(crashes_by_segment)
        if culprit is None:
            return culprits
        culprits.append(culprit)
        explained = crashes_by_segment[next(iter(culprit.segments))].keys()
        crashes_by_segment = {
            segment: {
                crash: requests
                for crash, requests in crashes.items()
                if crash not in explained
            }
            for segment, crashes in crashes_by_segment.items()
            if segment not in culprit.segments
        }


def _crashes_by_segment(strikes):
    """Return the fingerprints by crash, by segment.

    A crash is a pair of the endpoint and a time. As few crashes as possible
    are assumed: strikes of one endpoint are of the same crash if a moment
    exists at which all their requests were in flight.
    """
    crashes_by_segment = {}
    crash_at_by_endpoint = {}
    for strike in sorted(strikes, key=lambda strike: strike.struck_at):
        crash_at = crash_at_by_endpoint.get(strike.endpoint)
        if crash_at is None or strike.sent_at > crash_at:
            crash_at = strike.struck_at
            crash_at_by_endpoint[strike.endpoint] = crash_at
        crashes = crashes_by_segment.setdefault(strike.segment, {})
        requests = crashes.setdefault((strike.endpoint, crash_at), set())
        requests.add(strike.request)
    return crashes_by_segment


def _most_struck(crashes_by_segment):
    """Return the ``Culprit`` with the most crashes, or None."""
    struck = {
        segment: crashes
        for segment, crashes in crashes_by_segment.items()
        if _is_enough(crashes)
    }
    if not struck:
        return None
    first = min(struck, key=lambda segment: (-len(struck[segment]), segment))
    crashes = struck[first].keys()
    segments = frozenset(
        segment for segment in struck if struck[segment].keys() == crashes
    )
    last_crash_at = max(crash_at for _, crash_at in crashes)
    return Culprit(segments, len(crashes), last_crash_at)


def _is_enough(crashes):
    """Return whether crashes, with their requests, make a culprit."""
    if len(crashes) < MIN_CRASHES:
        return False
    if len(set().union(*crashes.values())) < MIN_CRASHES:
        return False
    times = [crash_at for _, crash_at in crashes]
    return max(times) - min(times) >= MIN_SPAN_SECONDS


class SegmentSuspects:
    """The culprits among prompt segments, as this VM knows them."""

    def __init__(self, strike_table, is_trial_vm, clock=clocks.now):
        """Create the detector.

        Args:
            strike_table: the ``CrashSuspects``, which hold the strikes.
            is_trial_vm: function of a culprit's key; returns whether this VM
                is the one that may try a request.
            clock: function that returns the monotonic time in seconds.
        """
        self._strike_table = strike_table
        self._is_trial_vm = is_trial_vm
        self._clock = clock
        self._lock = threading.Lock()
        self._tried_at_by_key = {}
        # When a strike or the void of one was noted last, or None.
        self._noted_at = None
        self._found_at = float('-inf')
        self._culprits = []
        strike_table.on_strike(self._note_strikes)

    def record_crash(self, endpoint, fingerprint, segments, sent_at):
        """Give strikes to the segments of a request that was in flight.

        Args:
            endpoint: the ``Endpoint`` that crashed.
            fingerprint: fingerprint of the request.
            segments: keys of the shared segments of its prompt.
            sent_at: when the request was sent to it.
        """
        now = self._clock()
        request = fingerprint[:_FINGERPRINT_CHARS]
        in_flight_ms = int((now - sent_at) * 1000)
        crash = (
            f'{endpoint.id}/{endpoint.incarnation}/{request}/{in_flight_ms}'
        )
        self._strike_table.merge(
            {(segment, crash): now for segment in segments}
        )

    def record_answer(self, segments):
        """Void the strikes of segments whose prompt got a whole answer."""
        now = self._clock()
        voids = {
            (segment, crash_suspects.VOID_PREFIX + crash): now
            for segment in segments
            for crash in self._live_crashes(segment)
        }
        if voids:
            self._strike_table.merge(voids)

    def culprits(self):
        """Return the present ``Culprit`` records."""
        now = self._clock()
        with self._lock:
            if not self._is_refresh_due(now):
                return self._culprits
            self._found_at = now
        found = find_culprits(self._settled_strikes(now))
        with self._lock:
            known, self._culprits = self._culprits, found
        _log_changes(known, found)
        return found

    def check(self, segments):
        """Refuse a request whose prompt has a culprit's segments.

        Args:
            segments: keys of the shared segments of its prompt.

        Raises:
            RequestCrashesEndpoints: the request must not run.
        """
        self._check(segments, self._is_trial_due)

    def check_before_send(self, segments):
        """Do the same, and count a request that passes as the trial."""
        self._check(segments, self._claim_trial)

    def _check(self, segments, may_try):
        for culprit in self.culprits():
            if culprit.segments.issubset(segments) and not may_try(culprit):
                seconds = culprit.trial_at - self._clock()
                raise errors.RequestCrashesEndpoints(
                    'several endpoints crashed while running requests with '
                    'a segment of its prompt',
                    max(1.0, seconds),
                )

    def _is_refresh_due(self, now):
        if self._noted_at is None:
            return False
        is_settled = self._found_at > self._noted_at + SETTLE_SECONDS
        interval = IDLE_REFRESH_SECONDS if is_settled else REFRESH_SECONDS
        return now - self._found_at >= interval

    def _is_trial_due(self, culprit):
        now = self._clock()
        if now < culprit.trial_at or not self._is_trial_vm(culprit.key):
            return False
        tried_at = self._tried_at_by_key.get(culprit.key)
        return tried_at is None or now - tried_at > TRIAL_TIMEOUT_SECONDS

    def _claim_trial(self, culprit):
        with self._lock:
            if not self._is_trial_due(culprit):
                return False
            self._tried_at_by_key[culprit.key] = self._clock()
        events.emit(
            events.SEGMENT_TRIED,
            segments=sorted(culprit.segments),
            crashes=culprit.crashes,
        )
        return True

    def _note_strikes(self, strikes):
        for segment, crash in strikes:
            if not segment.startswith(crash_suspects.SEGMENT_PREFIX):
                continue
            self._noted_at = self._clock()
            crash = crash.removeprefix(crash_suspects.VOID_PREFIX)
            if not _CRASH.fullmatch(crash):
                events.emit(
                    events.STRIKE_IGNORED,
                    segment=segment[:_MAX_LOGGED_CHARS],
                    crash=crash[:_MAX_LOGGED_CHARS],
                )

    def _live_crashes(self, segment):
        known = {
            crash for _, crash in self._strike_table.unexpired_strikes(segment)
        }
        return [
            crash
            for crash in known
            if not crash.startswith(crash_suspects.VOID_PREFIX)
            and crash_suspects.VOID_PREFIX + crash not in known
        ]

    def _settled_strikes(self, now):
        strikes = self._strike_table.strikes()
        return [
            _parse_strike(segment, crash, struck_at)
            for (segment, crash), struck_at in strikes.items()
            if segment.startswith(crash_suspects.SEGMENT_PREFIX)
            and not crash.startswith(crash_suspects.VOID_PREFIX)
            and (segment, crash_suspects.VOID_PREFIX + crash) not in strikes
            and struck_at <= now - SETTLE_SECONDS
            and _CRASH.fullmatch(crash)
        ]


def _parse_strike(segment, crash, struck_at):
    fields = _CRASH.fullmatch(crash)
    return SegmentStrike(
        segment,
        fields['endpoint'],
        fields['request'],
        struck_at - int(fields['ms']) / 1000,
        struck_at,
    )


def _log_changes(known, found):
    known_keys = {culprit.key for culprit in known}
    found_keys = {culprit.key for culprit in found}
    for culprit in found:
        if culprit.key not in known_keys:
            events.emit(
                events.SEGMENT_BLOCKED,
                segments=sorted(culprit.segments),
                crashes=culprit.crashes,
            )
    for culprit in known:
        if culprit.key not in found_keys:
            events.emit(
                events.SEGMENT_RELEASED, segments=sorted(culprit.segments)
            )
