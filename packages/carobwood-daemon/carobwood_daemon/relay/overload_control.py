"""Decides which requests go to engines, wait or are refused under overload.

Load pattern: for some seconds, customers ask for 1.5 to 4 times what the
engines can serve on time, mostly of a less urgent kind. Each of many VMs has
a few of the requests and hears of the others' after 0.1 to 1 s.

A request that can be on time goes to an engine that has a place for its kind
(``engine_room``), within this VM's share of the places (``place_shares``).
One that is expected to wait until it is late (``wait_forecast``), or whose
first event no engine can produce in time any more, takes spare room or is
refused at once with a time at which to return (``return_times``). One that
has come back after a refusal waits for spare room instead.
"""

import dataclasses
import math
import random
import threading

from carobwood import clocks

from . import concurrency_average
from . import concurrency_limit
from . import engine_room
from . import first_event_delay
from . import fleet_loads
from . import place_shares
from . import return_times
from . import urgency as urgencies
from . import wait_forecast

# Part of an engine's places that late requests leave free.
LATE_RESERVE_FRACTION = 1 / 6
# Part of its target latency that a request may spend on the prompt tokens that
# every engine would have to prefill. What these take beyond that does not make
# the request late here, so that large and small requests, and those whose
# prefix is cached nowhere, have the same time to wait.
PREFILL_FRACTION = 0.5
# Age that the contents of a report have at least when it comes.
MIN_REPORT_AGE_SECONDS = 0.1
# Age from which reports do not count any more.
MAX_REPORT_AGE_SECONDS = fleet_loads.PEER_REPORT_MAX_AGE_SECONDS
# Most requests that one engine gets, over the mean of all.
UNEVENNESS = 3.0
# Change of the level of admission that is reported.
REPORTED_LEVEL_STEP = 0.25
# Part of the target latency that the delay at engines may take.
MAX_DELAY_FRACTION = 0.5
# Average number of more urgent requests below which none are expected.
MIN_MEAN_CONCURRENCY = 0.01


@dataclasses.dataclass(frozen=True)
class Need:
    """What a request needs to be on time.

    Attributes:
        service: name of its service.
        urgency: its ``Urgency``.
        target_latency: seconds from its arrival within which its first event
            is on time.
        late_at: when its first event is late.
        has_returned: whether it comes after a refusal.
    """

    service: str
    urgency: urgencies.Urgency
    target_latency: float
    late_at: float
    has_returned: bool = False


@dataclasses.dataclass(frozen=True)
class Offer:
    """An engine as it may be offered a request.

    Attributes:
        endpoint_id: id of the engine.
        state: its ``EngineState``.
        tokens: prompt tokens of the request that it would prefill.
    """

    endpoint_id: str
    state: engine_room.EngineState
    tokens: int


@dataclasses.dataclass(frozen=True)
class Selection:
    """Engines that a request may go to now.

    Attributes:
        endpoint_ids: ids of the engines.
        can_be_on_time: whether any engine can still answer it on time, with
            or without a place now.
    """

    endpoint_ids: frozenset[str]
    can_be_on_time: bool


class OverloadControl:
    """Admission of this VM's requests to the engines."""

    def __init__(self, clock=clocks.now, count_vms=lambda: 1, source=random):
        """Create the control.

        Args:
            clock: function that returns the monotonic time in seconds.
            count_vms: function without arguments; returns the number of VMs
                that take callers.
            source: source of random numbers.
        """
        self._clock = clock
        self._count_vms = count_vms
        self._concurrency = concurrency_average.ConcurrencyAverage(clock)
        self._limit = concurrency_limit.ConcurrencyLimit(clock)
        self._delay = first_event_delay.FirstEventDelay(clock)
        self._forecast = wait_forecast.WaitForecast(clock)
        self._shares = place_shares.PlaceShares(count_vms, clock, source)
        self._deadlines = return_times.UsualDeadlines(clock)
        self._lock = threading.Lock()
        self._targets_by_service = {}
        self._reported_levels_by_key = {}

    def note_arrival(self, need):
        """Record that a request has been admitted."""
        with self._lock:
            targets = self._targets_by_service.setdefault(need.service, {})
            targets[need.urgency] = need.target_latency
        self._concurrency.add(need.service, need.urgency)

    def note_end(self, need):
        """Record that a request has ended, however it did."""
        self._concurrency.remove(need.service, need.urgency)

    def note_placed(self, need, endpoint_id):
        """Record that a request has got a place on an engine."""
        self._forecast.note_start(need.service, need.urgency)
        self._shares.take(endpoint_id)

    def note_first_event(self, need, expected, actual):
        """Record the first event of an answer.

        Args:
            need: the ``Need`` of the request.
            expected: seconds from sending it in which the event was expected.
            actual: seconds in which it came.
        """
        self._delay.note(need.service, need.urgency, expected, actual)

    def note_answer(self, service, longest_pause, target_pause):
        """Record the longest pause of an answered stream.

        Args:
            service: name of the service.
            longest_pause: seconds between two of its events.
            target_pause: seconds that are on time, or None.
        """
        if target_pause is not None:
            self._limit.note_answer(service, longest_pause > target_pause)

    def limit_fraction(self, service):
        """Return the part of the engines' slots that is used now."""
        return self._limit.fraction(service)

    def can_be_on_time(self, need, offers):
        """Return whether any engine can still answer a request on time.

        Args:
            need: the ``Need``.
            offers: an ``Offer`` of each engine, with or without a place.
        """
        if not offers:
            return self._clock() <= need.late_at
        terms = engine_room.Terms(self._seconds_left(need, offers))
        return any(
            engine_room.is_in_time(offer.state, offer.tokens, terms)
            for offer in offers
        )

    def select(self, need, offers, report, is_waiting):
        """Return the ``Selection`` for a request.

        Args:
            need: the ``Need``.
            offers: an ``Offer`` of each engine.
            report: identifies the last report on the engines' loads: when
                it came.
            is_waiting: whether the request has waited for a place.
        """
        can_be_on_time = self.can_be_on_time(need, offers)
        if not offers:
            return Selection(frozenset(), can_be_on_time)
        terms = self._terms(need, offers, can_be_on_time)
        age = self._load_age(report)
        unseen = self._arrivals_per_engine(need, age, len(offers))
        kept = engine_room.kept_places(
            terms.reserved_places,
            self._arrivals_above(need, age, len(offers)),
            max(offer.state.slots for offer in offers),
        )
        contended = kept + UNEVENNESS * unseen
        selected = []
        for offer in offers:
            if not _has_room(offer, terms):
                continue
            free = offer.state.slots - offer.state.running
            if is_waiting or free <= contended:
                if not self._shares.may_take(
                    report, offer.endpoint_id, free - kept
                ):
                    continue
            selected.append(offer.endpoint_id)
        return Selection(frozenset(selected), can_be_on_time)

    def ids_with_room(self, need, offers):
        """Return the ids of the engines that have room for a request.

        The places of other VMs are not left out, as in ``select``.

        Args:
            need: the ``Need``.
            offers: an ``Offer`` of each engine.
        """
        if not offers:
            return frozenset()
        terms = self._terms(need, offers, self.can_be_on_time(need, offers))
        return frozenset(
            offer.endpoint_id for offer in offers if _has_room(offer, terms)
        )

    def is_worth_waiting(self, need, ahead):
        """Return whether a request is expected to get a place in time.

        Args:
            need: the ``Need``.
            ahead: number of waiting requests that go before it.
        """
        return self._forecast.is_worth_waiting(
            need.service, need.urgency, ahead, need.late_at - self._clock()
        )

    def has_returned(self, route_name, seconds):
        """Return whether a request seems to come after a refusal.

        Args:
            route_name: name of its route.
            seconds: time to the deadline that its caller names, or None.
        """
        return self._deadlines.has_returned(route_name, seconds)

    def note_wait(self, need, was_placed):
        """Record whether a request that waited got a place in time."""
        if not need.has_returned:
            self._forecast.note_wait(need.service, need.urgency, was_placed)

    def level(self, need):
        """Return the level of admission to the wait, 1 if fully open."""
        return self._forecast.level(need.service, need.urgency)

    def take_changed_level(self, need):
        """Return the level if it has moved since it was last returned.

        Returns:
            The level, or None if it has moved by less than
            ``REPORTED_LEVEL_STEP``.
        """
        level = self.level(need)
        key = (need.service, need.urgency)
        with self._lock:
            former = self._reported_levels_by_key.get(key, 1.0)
            if abs(level - former) < REPORTED_LEVEL_STEP:
                return None
            self._reported_levels_by_key[key] = level
        return level

    def forecast_seconds(self, service, ahead):
        """Return the expected wait behind a number of requests."""
        return self._forecast.wait_seconds(service, ahead)

    def _seconds_left(self, need, offers):
        speed = max(offer.state.prefill_speed for offer in offers)
        prefill_seconds = min(offer.tokens for offer in offers) / speed
        extra = prefill_seconds - PREFILL_FRACTION * need.target_latency
        delay = self._delay.seconds(need.service, need.urgency)
        # What a request without a wait can't meet is no reason to refuse it.
        delay = min(delay, MAX_DELAY_FRACTION * need.target_latency)
        return need.late_at - self._clock() + max(0.0, extra) - delay

    def _terms(self, need, offers, can_be_on_time):
        slots = max(offer.state.slots for offer in offers)
        reserved = engine_room.reserved_places(
            self._mean_above_per_engine(need, len(offers)), slots
        )
        seconds_left = self._seconds_left(need, offers)
        if not can_be_on_time:
            seconds_left = math.inf
            late_reserve = math.ceil(LATE_RESERVE_FRACTION * slots)
            reserved = max(reserved, late_reserve)
        return engine_room.Terms(
            seconds_left,
            reserved,
            self._max_ahead_seconds(need),
            self._limit.fraction(need.service),
        )

    def _mean_above_per_engine(self, need, engines):
        own = self._concurrency.mean_above(need.service, need.urgency)
        return own * self._count_vms() / max(1, engines)

    def _max_ahead_seconds(self, need):
        """Return how long an engine's queued prompts may take after it."""
        means = self._concurrency.means_above(need.service, need.urgency)
        with self._lock:
            targets = self._targets_by_service.get(need.service, {})
            # Targets of routes that have gone, or lie idle, do not count.
            shortest = min(
                (
                    targets.get(urgency, math.inf)
                    for urgency, mean in means.items()
                    if mean >= MIN_MEAN_CONCURRENCY
                ),
                default=math.inf,
            )
        return engine_room.MAX_WORK_AHEAD_FRACTION * shortest

    def _load_age(self, report):
        """Return the age in seconds of what is known of the loads."""
        age = max(0.0, self._clock() - report)
        return min(age, MAX_REPORT_AGE_SECONDS) + MIN_REPORT_AGE_SECONDS

    def _arrivals_per_engine(self, need, age, engines):
        """Return how many requests an engine may have got in a time.

        Only requests at least as urgent count: the places that are kept for
        them are not taken by others.
        """
        rate = self._forecast.observed_rate(need.service, need.urgency)
        return rate * self._count_vms() * age / max(1, engines)

    def _arrivals_above(self, need, age, engines):
        """Return how many more urgent requests an engine may have got."""
        rate = self._forecast.rate_above(need.service, need.urgency)
        return rate * self._count_vms() * age / max(1, engines)


def _has_room(offer, terms):
    """Return whether an engine has a place, and can answer in time."""
    return engine_room.has_place(
        offer.state, offer.tokens, terms
    ) and engine_room.is_in_time(offer.state, offer.tokens, terms)
