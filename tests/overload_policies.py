"""Decisions of the VMs in the replay of a surge: baselines and the control."""

import overload_replay as replay

from carobwood_daemon.relay import engine_room
from carobwood_daemon.relay import overload_control
from carobwood_daemon.relay import return_times
from carobwood_daemon.relay import urgency
from carobwood_daemon.relay import wait_queue


class Today:
    """Queue and placement without the control: all of one priority."""

    def __init__(self, vm):
        self._vm = vm

    def arrive(self, request):
        """Take note of a request."""
        left = request.kind.deadline - (request.at - request.first_at)
        request.wait_ends_at = request.at + min(
            left * wait_queue.MAX_WAIT_FRACTION, request.kind.patience - 0.1
        )

    def enqueue(self, request):
        """Queue a request, or refuse it."""
        if len(self._vm.waiting) >= wait_queue.MAX_WAITING:
            self._vm.refuse(request, self.retry_after(request))
        else:
            self._vm.waiting.append(request)

    def expired(self):
        """Return the waiting requests to refuse now."""
        now = self._vm.simulation.now
        return [r for r in self._vm.waiting if now >= r.wait_ends_at]

    def retry_after(self, request):
        """Return the seconds after which a caller should return."""
        del request
        return wait_queue.RETRY_AFTER_SECONDS

    def rank(self, request):
        """Return the sort key of a request."""
        late_at = request.at + request.kind.target
        is_late = self._vm.simulation.now > late_at
        return (is_late, late_at, request.number)

    def engine_rank(self, request):
        """Return the rank of a request within an engine."""
        del request
        return 1

    def choose(self, request):
        """Return the index of the engine for a request, or None."""
        costs = [
            (prefill / replay.PREFILL_SPEED + running * 0.0015, index)
            for index, (running, prefill) in enumerate(self._vm.loads())
            if running < replay.SLOTS
        ]
        return self._cheapest(request, costs)

    def _cheapest(self, request, costs):
        """Return the index of the lowest cost; ties break at random."""
        self._vm.simulation.random.shuffle(costs)
        return min(
            costs,
            key=lambda item: (
                item[0]
                + replay.OTHERS_PENALTY_SECONDS
                * (item[1] not in request.holders)
            ),
            default=(0.0, None),
        )[1]

    def placed(self, request, name):
        """Take note of a request that was sent."""

    def first_event(self, request, seconds):
        """Take note of a first event."""

    def note_wait(self, request, was_placed):
        """Take note of how a wait ended."""

    def end(self, request):
        """Take note of a request that has ended."""


class LeastLoaded(Today):
    """The engine with the fewest requests takes each request at once."""

    def choose(self, request):
        """See ``Today``."""
        loads = list(enumerate(self._vm.loads()))
        self._vm.simulation.random.shuffle(loads)
        return min(loads, key=lambda item: item[1][0])[0]


class NoControl(Today):
    """Any engine takes each request at once."""

    def choose(self, request):
        """See ``Today``."""
        return self._vm.simulation.random.randrange(
            len(self._vm.simulation.engines)
        )


class Controlled(Today):
    """The overload control, with the speeds of the engines known."""

    def __init__(self, vm):
        super().__init__(vm)
        simulation = vm.simulation
        self._control = overload_control.OverloadControl(
            simulation.clock, lambda: len(simulation.vms), simulation.random
        )

    def arrive(self, request):
        """See ``Today``."""
        super().arrive(request)
        request.need = overload_control.Need(
            replay.SERVICE,
            urgency.Urgency(1, request.kind.priority),
            request.kind.target,
            request.first_at + request.kind.target,
            request.has_returned,
        )
        self._control.note_arrival(request.need)

    def enqueue(self, request):
        """See ``Today``."""
        rank = self.rank(request)
        ahead = sum(self.rank(r) < rank for r in self._vm.waiting)
        if request.has_returned or (
            self._control.can_be_on_time(request.need, self._offers(request))
            and self._control.is_worth_waiting(request.need, ahead)
        ):
            self._vm.waiting.append(request)
        else:
            self._vm.refuse(request, self.retry_after(request))

    def expired(self):
        """See ``Today``."""
        expired = super().expired()
        for request in self._vm.waiting:
            if request in expired or request.has_returned:
                continue
            if not self._control.can_be_on_time(
                request.need, self._offers(request)
            ):
                expired.append(request)
        return expired

    def retry_after(self, request):
        """See ``Today``."""
        now = self._vm.simulation.now
        left = request.first_at + request.kind.deadline - now
        return return_times.seconds_until_return(
            left, self._vm.simulation.random
        )

    def rank(self, request):
        """See ``Today``."""
        late_at = request.need.late_at
        is_late = self._vm.simulation.now > late_at
        return (is_late, request.need.urgency, late_at, request.number)

    def engine_rank(self, request):
        """See ``Today``."""
        return request.kind.priority

    def choose(self, request):
        """See ``Today``."""
        offers = self._offers(request)
        selection = self._control.select(
            request.need,
            offers,
            self._vm.report_at,
            request in self._vm.waiting,
        )
        costs = [
            (offer.state.first_event_seconds(offer.tokens), index)
            for index, offer in enumerate(offers)
            if offer.endpoint_id in selection.endpoint_ids
        ]
        index = self._cheapest(request, costs)
        if index is not None:
            offer = offers[index]
            request.expected_seconds = offer.state.first_event_seconds(
                offer.tokens
            )
        return index

    def first_event(self, request, seconds):
        """See ``Today``."""
        self._control.note_first_event(
            request.need, request.expected_seconds, seconds
        )

    def placed(self, request, name):
        """See ``Today``."""
        self._control.note_placed(request.need, name)

    def note_wait(self, request, was_placed):
        """See ``Today``."""
        self._control.note_wait(request.need, was_placed)

    def end(self, request):
        """See ``Today``."""
        self._control.note_end(request.need)

    def _offers(self, request):
        engines = self._vm.simulation.engines
        return [
            overload_control.Offer(
                engine.name,
                engine_room.EngineState(
                    replay.SLOTS,
                    running,
                    prefill,
                    replay.PREFILL_SPEED * engine.speed,
                ),
                request.tokens,
            )
            for engine, (running, prefill) in zip(
                engines, self._vm.loads(), strict=True
            )
        ]
