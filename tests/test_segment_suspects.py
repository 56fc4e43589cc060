"""Replays of crashes and answers on the detector of crashing segments."""

import random

import pytest
import relay_builders as builders

from carobwood import errors
from carobwood import events
from carobwood_daemon.routing import crash_suspects
from carobwood_daemon.routing import segment_suspects

ENGINES = [builders.endpoint(f'engine-{number}') for number in range(5)]
RULEBOOK = segment_suspects.segment_key(builders.MODEL, 'aa')
COUNTRIES = [
    segment_suspects.segment_key(builders.MODEL, f'c{number}')
    for number in range(12)
]
CRASHING = segment_suspects.segment_key(builders.MODEL, 'dd')


class VmHarness:
    """The detector of one VM and its clock."""

    def __init__(self, is_trial_vm=True):
        self.clock = builders.Clock()
        self.clock.now = 1000.0
        self.table = crash_suspects.CrashSuspects(self.clock)
        self.is_trial_vm = is_trial_vm
        self.suspects = segment_suspects.SegmentSuspects(
            self.table, lambda key: self.is_trial_vm, self.clock
        )

    def crash(self, request, *segments, engine=ENGINES[0], in_flight=0.1):
        """Record that a request was in flight when an engine crashed."""
        self.suspects.record_crash(
            engine, request, segments, self.clock.now - in_flight
        )

    def crash_thrice(self, *segments):
        """Record three crashes, each with another request in flight."""
        for number in range(3):
            self.clock.now += 2.0
            self.crash(f'{number:04x}', *segments)

    def culprits(self):
        """Return the culprits once all strikes count."""
        self.clock.now += segment_suspects.SETTLE_SECONDS
        return self.suspects.culprits()

    def is_refused(self, *segments):
        """Return whether a request with these segments is refused."""
        try:
            self.suspects.check(frozenset(segments))
        except errors.RequestCrashesEndpoints:
            return True
        return False


@pytest.fixture
def vm():
    """Return a ``VmHarness``."""
    return VmHarness()


def test_a_segment_of_three_crashes_is_refused(vm):
    vm.crash_thrice(RULEBOOK, CRASHING)
    assert not vm.is_refused(RULEBOOK, CRASHING)
    vm.clock.now += segment_suspects.SETTLE_SECONDS
    assert vm.is_refused(RULEBOOK, CRASHING)


def test_culprits_are_not_determined_anew_while_nothing_changes(
    vm, monkeypatch
):
    counts = []
    find = segment_suspects.find_culprits
    monkeypatch.setattr(
        segment_suspects,
        'find_culprits',
        lambda strikes: counts.append(len(strikes)) or find(strikes),
    )
    vm.crash_thrice(RULEBOOK, CRASHING)
    # A request for each tenth of a second, most of them long after.
    for _ in range(200):
        vm.clock.now += 0.1
        vm.is_refused(RULEBOOK)
    assert len(counts) <= 6
    assert vm.is_refused(RULEBOOK, CRASHING)


def test_strikes_that_no_request_followed_count_later(vm):
    vm.crash_thrice(RULEBOOK, CRASHING)
    assert not vm.is_refused(RULEBOOK, CRASHING)
    vm.clock.now += 3 * segment_suspects.SETTLE_SECONDS
    assert vm.is_refused(RULEBOOK, CRASHING)


def test_a_request_with_only_some_of_the_suspected_segments_is_not_refused(
    vm,
):
    # It tells which of the segments crashes engines.
    vm.crash_thrice(RULEBOOK, CRASHING)
    vm.clock.now += segment_suspects.SETTLE_SECONDS
    assert vm.is_refused(RULEBOOK, CRASHING)
    assert not vm.is_refused(RULEBOOK, COUNTRIES[0])


def test_an_answer_voids_the_strikes_of_its_segments(vm):
    vm.crash_thrice(RULEBOOK, CRASHING)
    vm.suspects.record_answer([RULEBOOK, COUNTRIES[0]])
    [culprit] = vm.culprits()
    assert culprit.segments == {CRASHING}
    vm.suspects.record_answer([RULEBOOK, CRASHING])
    assert vm.culprits() == []


def test_an_answer_seen_by_one_vm_counts_at_all(vm):
    other = VmHarness()
    vm.crash_thrice(RULEBOOK, CRASHING)
    other.table.merge(vm.table.strikes())
    other.clock.now = vm.clock.now + segment_suspects.SETTLE_SECONDS
    assert other.is_refused(RULEBOOK, CRASHING)
    vm.suspects.record_answer([RULEBOOK, CRASHING])
    other.table.merge(vm.table.strikes())
    other.clock.now += segment_suspects.REFRESH_SECONDS
    assert not other.is_refused(RULEBOOK, CRASHING)


def test_requests_in_flight_at_one_crash_make_no_culprit(vm):
    for number in range(8):
        vm.crash(f'{number:04x}', RULEBOOK, in_flight=0.1 * number + 0.05)
        vm.clock.now += 0.005
    assert vm.culprits() == []


def test_engines_that_crash_together_make_no_culprit(vm):
    # As in a power failure, with a much used segment in flight on each.
    for number, engine in enumerate(ENGINES):
        for copy in range(3):
            vm.crash(f'{number}a{copy}', RULEBOOK, engine=engine)
        vm.clock.now += 0.1
    assert vm.culprits() == []
    # One of them crashes again, with no answer in between.
    vm.clock.now += 0.1
    vm.crash('0066', COUNTRIES[0], engine=ENGINES[0])
    assert vm.culprits() == []


def test_repeats_of_one_request_make_no_culprit(vm):
    for _ in range(5):
        vm.clock.now += 2.0
        vm.crash('abcd', RULEBOOK, COUNTRIES[0])
    assert vm.culprits() == []


def test_a_segment_in_flight_beside_a_culprit_is_no_culprit(vm):
    for number in range(6):
        vm.clock.now += 2.0
        vm.crash(f'bad{number}', RULEBOOK, CRASHING)
        if number % 2:
            vm.crash(f'{number:05x}', RULEBOOK, COUNTRIES[0])
    vm.suspects.record_answer([RULEBOOK])
    [culprit] = vm.culprits()
    assert culprit.segments == {CRASHING}


@pytest.mark.parametrize(
    'crash', ['', 'engine-1/1', 'engine-1/1/ab/soon', 'answered/', 'e/ab/1/']
)
def test_unreadable_strikes_of_other_vms_are_ignored_and_logged(
    vm, monkeypatch, crash
):
    logged = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: logged.append(event)
    )
    vm.table.merge({(CRASHING, crash): vm.clock.now})
    assert logged.count(events.STRIKE_IGNORED) == 1
    vm.clock.now += segment_suspects.SETTLE_SECONDS
    assert not vm.is_refused(CRASHING)


def test_a_trial_is_due_on_one_vm_and_once(vm):
    vm.crash_thrice(CRASHING)
    vm.clock.now += segment_suspects.FIRST_TRIAL_DELAY_SECONDS + 0.1
    vm.is_trial_vm = False
    assert vm.is_refused(CRASHING)
    vm.is_trial_vm = True
    assert not vm.is_refused(CRASHING)
    vm.suspects.check_before_send([CRASHING])
    with pytest.raises(errors.RequestCrashesEndpoints) as refusal:
        vm.suspects.check_before_send([CRASHING])
    assert refusal.value.retry_after >= 1.0


def test_a_trial_that_crashes_an_engine_doubles_the_delay(vm):
    vm.crash_thrice(CRASHING)
    delay = segment_suspects.FIRST_TRIAL_DELAY_SECONDS
    vm.clock.now += delay + 0.1
    vm.suspects.check_before_send([CRASHING])
    vm.crash('0077', CRASHING)
    vm.clock.now += 2 * delay - 0.3
    assert vm.is_refused(CRASHING)
    vm.clock.now += 0.6
    assert not vm.is_refused(CRASHING)


def test_a_trial_that_is_answered_releases_the_segment(vm):
    vm.crash_thrice(CRASHING)
    vm.clock.now += segment_suspects.FIRST_TRIAL_DELAY_SECONDS + 0.1
    vm.suspects.check_before_send([CRASHING])
    vm.suspects.record_answer([CRASHING])
    vm.clock.now += segment_suspects.REFRESH_SECONDS
    vm.is_trial_vm = False
    assert not vm.is_refused(CRASHING)


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('vm_count', [8, 200])
def test_replay_of_a_storm_stops_the_crashes_and_blocks_nothing_else(
    seed, vm_count
):
    storm = Storm(seed, vm_count)
    storm.run()
    assert len(storm.sent_after_fifth) <= 3
    assert storm.refused_sound == 0


class Storm:
    """A fleet on which a share of the requests have a crashing segment.

    Time is in steps. Each request is in flight for a while; an engine that
    begins to answer one with the segment crashes with all that it runs, and
    is back after three seconds. What a VM learns reaches the others late.
    """

    STEP_SECONDS = 0.05
    LENGTH_SECONDS = 30.0
    GOSSIP_SECONDS = 0.4
    CONTACT_SECONDS = 3.0
    DOWN_SECONDS = 3.0
    REQUESTS_PER_STEP = 1.0
    CRASHING_SHARE = 0.05

    def __init__(self, seed, vm_count):
        self._random = random.Random(seed)
        self._vms = [VmHarness(False) for _ in range(vm_count)]
        self._up_at_by_engine = {engine.id: 0.0 for engine in ENGINES}
        self._runs = []
        self._gossip = []
        self._crashed_at = []
        self._count = 0
        self._now = 0.0
        self.sent_after_fifth = []
        self.refused_sound = 0
        for vm in self._vms:
            vm.table.on_strike(self._make_sender(vm))

    def _make_sender(self, sender):
        def send(strikes):
            known = sender.table.strikes()
            self._gossip.append(
                (
                    self._now + self.GOSSIP_SECONDS,
                    {strike: known[strike] for strike in strikes},
                )
            )

        return send

    def run(self):
        """Play the storm."""
        while self._now < self.LENGTH_SECONDS:
            self._now += self.STEP_SECONDS
            for vm in self._vms:
                vm.clock.now = self._now
            self._deliver()
            self._finish_runs()
            if self._random.random() < self.REQUESTS_PER_STEP:
                self._send()

    def _deliver(self):
        due = [item for item in self._gossip if item[0] <= self._now]
        self._gossip = [item for item in self._gossip if item[0] > self._now]
        merged = {}
        for _, strikes in due:
            merged.update(strikes)
        if merged:
            for vm in self._vms:
                vm.table.merge(merged)
            # What was merged is not sent again.
            self._gossip = [
                item for item in self._gossip if item[0] <= self._now
            ] + [
                item
                for item in self._gossip
                if item[0] > self._now and not item[1].keys() <= merged.keys()
            ]

    def _send(self):
        self._count += 1
        is_crashing = self._random.random() < self.CRASHING_SHARE
        segments = [RULEBOOK, self._random.choice(COUNTRIES)]
        if is_crashing:
            segments.append(CRASHING)
        vm = self._random.choice(self._vms)
        if vm.is_refused(*segments):
            self.refused_sound += not is_crashing
            return
        up = [
            engine
            for engine in ENGINES
            if self._up_at_by_engine[engine.id] <= self._now
        ]
        if not up:
            return
        if is_crashing and len(self._crashed_at) >= 5:
            if self._now > self._crashed_at[4] + self.CONTACT_SECONDS:
                self.sent_after_fifth.append(self._now)
        prefill = self._random.uniform(0.05, 0.4)
        answer = self._random.uniform(0.1, 0.8)
        self._runs.append(
            Run(
                vm,
                self._random.choice(up),
                f'{self._count:09x}',
                segments,
                self._now,
                self._now + prefill,
                self._now + prefill + answer,
                is_crashing,
            )
        )

    def _finish_runs(self):
        for run in list(self._runs):
            if run not in self._runs:
                continue
            if run.is_crashing and run.begins_at <= self._now:
                self._crash(run.engine)
            elif run.ends_at <= self._now:
                self._runs.remove(run)
                run.vm.suspects.record_answer(run.segments)

    def _crash(self, engine):
        self._crashed_at.append(self._now)
        self._up_at_by_engine[engine.id] = self._now + self.DOWN_SECONDS
        lost = [run for run in self._runs if run.engine is engine]
        self._runs = [run for run in self._runs if run.engine is not engine]
        for run in lost:
            if run.begins_at + 0.25 < self._now:
                continue
            run.vm.suspects.record_crash(
                engine, run.request, run.segments, run.sent_at
            )


class Run:
    """A request in flight on an engine."""

    def __init__(
        self, vm, engine, request, segments, sent_at, begins_at, ends_at, bad
    ):
        self.vm = vm
        self.engine = engine
        self.request = request
        self.segments = segments
        self.sent_at = sent_at
        self.begins_at = begins_at
        self.ends_at = ends_at
        self.is_crashing = bad
