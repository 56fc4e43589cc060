"""The endpoint for a request, from all that this VM knows."""

import dataclasses

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import fleet_loads
from . import pieces
from . import placement
from ..routing import rendezvous

# Age of a newer version up to which older weights are as good.
OLD_WEIGHTS_GRACE_SECONDS = 1.2
# Part of the time to change weights after which old ones get no work.
OLD_WEIGHTS_SHARE = 0.85
# Prompts from which on other entry VMs are told at once; reading one
# takes an engine longer than a round of gossip.
SPREAD_TOKENS = 2000
# Shorter prompts are read in less time than it takes to bring them.
MIN_SAVED_TOKENS = 100
# Requests that one endpoint of a plain service takes without a profile.
PLAIN_SLOTS = 6
# Endpoints named in a line of the log, which must stay short.
MAX_LOGGED_ENDPOINTS = 16
# Bytes of a piece's digest that tell pieces apart in the log of a day.
LOGGED_PIECE_BYTES = 4


@dataclasses.dataclass(frozen=True, eq=False)
class Place:
    """A place that was taken for a request on an endpoint.

    Attributes:
        endpoint: the ``Endpoint``.
        reservation: the ``Reservation`` of its work there.
        salt: name of the wall around cached parts, or empty.
        weights_version: weights of the engine, or 0.
        chain: pieces of the shared prompt under the salt.
        fetch_from: address of a cache that holds more of it, or empty.
        save_to: address of a store to save what is read to, or empty.
        inputs: what decided, for the log.
    """

    endpoint: object
    reservation: fleet_loads.Reservation
    salt: str
    weights_version: int
    chain: tuple[bytes, ...]
    fetch_from: str
    save_to: str
    inputs: dict


@dataclasses.dataclass(frozen=True)
class Source:
    """Where an engine gets cached parts from and brings them to.

    Attributes:
        fetch_from: address of an engine or a store, or empty.
        save_to: address of a store that lacks them, or empty.
    """

    fetch_from: str = ''
    save_to: str = ''


class Selector:
    """Chooses endpoints and counts what is in flight on them."""

    def __init__(self, parts):
        """Create the selector; see ``RelayParts``."""
        self._parts = parts

    def is_served(self, request, excluded):
        """Tell whether an endpoint that may still be tried is known."""
        return any(
            endpoint.id not in excluded
            for endpoint in self._endpoints(request.service)
        )

    def take(self, request, excluded):
        """Take a place for a request.

        Args:
            request: the ``RelayRequest``.
            excluded: ids of endpoints that it must not go to.

        Returns:
            A ``Place``, or None if it fits nowhere now.
        """
        parts = self._parts
        endpoints = [
            endpoint
            for endpoint in self._endpoints(request.service)
            if endpoint.id not in excluded
            and not parts.health.is_avoided(endpoint)
        ]
        loads_by_id = parts.loads.total()
        parts.reading.note(loads_by_id)
        candidates = self._candidates(request, endpoints, loads_by_id)
        choice = placement.choose(candidates, request.demand)
        if choice is None:
            return None
        return self._occupy(request, choice, candidates)

    def leave(self, place):
        """Give a place back."""
        place.reservation.release()
        self._parts.waiting.wake()

    def note_read(self, place):
        """Note that an engine has read the prompt."""
        place.reservation.note_read()
        self._parts.waiting.wake()

    def _endpoints(self, service):
        return [
            endpoint
            for endpoint in self._parts.directory.present_endpoints()
            if endpoint.pool == service
        ]

    def _candidates(self, request, endpoints, loads_by_id):
        configuration = self._parts.state.configuration
        service = configuration.services_by_name.get(request.service)
        if service is None or service.engine is None:
            return [
                self._plain_candidate(endpoint, loads_by_id)
                for endpoint in endpoints
            ]
        home = self._home(request, endpoints)
        return [
            self._engine_candidate(
                request, endpoint, service.engine, loads_by_id, home
            )
            for endpoint in endpoints
            if not self._parts.weights.is_loading(endpoint)
            and not self._is_outdated(request, endpoint)
        ]

    def _plain_candidate(self, endpoint, loads_by_id):
        return placement.Candidate(
            endpoint,
            loads_by_id.get(endpoint.id, fleet_loads.Load()),
            PLAIN_SLOTS,
            failure_rate=self._parts.health.failure_rate(endpoint),
            is_remote=endpoint.data_centre != self._parts.data_centre,
        )

    def _engine_candidate(self, request, endpoint, profile, loads_by_id, home):
        chain = self._chain(request, endpoint)
        count = self._parts.placements.cached_pieces(endpoint, chain)
        shared = request.hints.parts[:-1]
        return placement.Candidate(
            endpoint,
            loads_by_id.get(endpoint.id, fleet_loads.Load()),
            profile.slots,
            profile.memory_tokens,
            sum(part.tokens for part in shared[:count]),
            endpoint.id == home,
            self._has_old_weights(request, endpoint),
            self._parts.health.failure_rate(endpoint),
            endpoint.data_centre != self._parts.data_centre,
            self._parts.reading.share(endpoint.id),
            self._parts.weights.version(endpoint),
        )

    def _home(self, request, endpoints):
        shared = request.hints.parts[:-1]
        if not shared or not endpoints:
            return ''
        key = '/'.join(part.id for part in shared).encode('utf-8')
        return rendezvous.rank(key, endpoints)[0].id

    def _has_old_weights(self, request, endpoint):
        weights = self._parts.weights
        model = request.hints.model
        is_old = weights.version(endpoint) < weights.wanted(model)
        age = weights.seconds_since_named(model)
        return is_old and age > OLD_WEIGHTS_GRACE_SECONDS

    def _is_outdated(self, request, endpoint):
        weights = self._parts.weights
        limit = self._parts.weights_seconds * OLD_WEIGHTS_SHARE
        age = weights.seconds_since_named(request.hints.model)
        return self._has_old_weights(request, endpoint) and age > limit

    def _chain(self, request, endpoint):
        salt = self._salt(request, endpoint)
        return tuple(
            pieces.name_of(salt, part.id) for part in request.hints.parts[:-1]
        )

    def _salt(self, request, endpoint):
        """Return the wall within which cached parts may be shared."""
        version = self._parts.weights.version(endpoint)
        customer = request.customer
        if customer is not None and customer.is_isolated:
            return f'v{version}/{customer.name}'
        return f'v{version}'

    def _occupy(self, request, choice, candidates):
        endpoint = choice.candidate.endpoint
        chain = self._chain(request, endpoint)
        if chain:
            self._parts.placements.note(endpoint, chain)
        reservation = self._parts.loads.reserve(endpoint.id, choice.load)
        if choice.load.unread_tokens >= SPREAD_TOKENS:
            self._parts.spread_loads()
        if choice.candidate.memory_tokens:
            return self._engine_place(
                request, choice.candidate, candidates, chain, reservation
            )
        return Place(
            endpoint,
            reservation,
            '',
            0,
            (),
            '',
            '',
            _inputs(choice.candidate, candidates),
        )

    def _engine_place(self, request, chosen, candidates, chain, reservation):
        salt = self._salt(request, chosen.endpoint)
        source = self._source(request, chosen, candidates, salt)
        return Place(
            chosen.endpoint,
            reservation,
            salt,
            self._parts.weights.version(chosen.endpoint),
            chain,
            source.fetch_from,
            source.save_to,
            {
                'tokens': request.demand.total_tokens,
                'shared': _brief_parts(request, chain),
            }
            | _inputs(chosen, candidates),
        )

    def _source(self, request, chosen, candidates, salt):
        """Return the ``Source`` of what the chosen engine lacks."""
        shared = request.hints.parts[:-1]
        if not shared:
            return Source()
        tokens = sum(part.tokens for part in shared)
        holder = _holder(chosen, candidates)
        held_by_engine = holder.cached_tokens if holder else 0
        store = self._parts.stores.find()
        if store is None:
            return Source(holder.endpoint.address if holder else '')
        count = store.count_held(salt, [part.id for part in shared])
        held_by_store = sum(part.tokens for part in shared[:count])
        save_to = ''
        is_read = chosen.cached_tokens < tokens
        if is_read and held_by_store < tokens >= MIN_SAVED_TOKENS:
            save_to = store.address
        if held_by_store > max(held_by_engine, chosen.cached_tokens):
            return Source(store.address, save_to)
        if not holder and held_by_store:
            # The engine may have dropped what it is believed to hold; it
            # fetches no part that it has.
            return Source(store.address, save_to)
        return Source(holder.endpoint.address if holder else '', save_to)

    def await_place(self, request, excluded, caller):
        """Take a place, after a wait if the request fits nowhere yet.

        Raises:
            NoEndpoint: no endpoint of the service is known, or all of
                them have been tried.
            Saturated: no place came free in time.
            CallerLeft: the caller left meanwhile.
        """
        waiting = self._parts.waiting
        order = (request.service, request.priority, request.on_time_until)
        if not waiting.must_queue(*order):
            place = self.take(request, excluded)
            if place is not None:
                return place
        is_hopeless = not self.is_served(request, excluded)
        if is_hopeless and (excluded or self._parts.is_settled()):
            raise errors.NoEndpoint('no endpoint is left to try')
        ticket = waiting.enter(*order, request.due_at)
        if ticket is None:
            raise errors.Saturated('too many requests wait')
        self._log_waiting(request, excluded, ticket)
        began_at = clocks.now()
        outcome = 'broken-off'
        try:
            place = self._wait(request, excluded, caller, ticket)
            outcome = 'placed'
            return place
        except errors.CarobwoodError as error:
            outcome = error.code
            raise
        finally:
            waiting.leave(ticket)
            events.emit(
                events.WAIT_ENDED,
                request_id=request.hints.request_id,
                outcome=outcome,
                seconds=round(clocks.now() - began_at, 4),
            )

    def _wait(self, request, excluded, caller, ticket):
        waiting = self._parts.waiting
        while True:
            if caller.has_left():
                raise errors.CallerLeft('the caller left its place')
            if waiting.is_first(ticket):
                place = self.take(request, excluded)
                if place is not None:
                    return place
            if not waiting.pause(ticket):
                raise errors.Saturated('no place came free in time')

    def _log_waiting(self, request, excluded, ticket):
        parts = self._parts
        endpoints = self._endpoints(request.service)
        loads_by_id = parts.loads.total()
        fit_ids = {
            candidate.endpoint.id
            for candidate in self._candidates(request, endpoints, loads_by_id)
        }
        events.emit(
            events.REQUEST_WAITING,
            request_id=request.hints.request_id,
            service=request.service,
            priority=request.priority,
            tokens=request.demand.total_tokens,
            waiting=parts.waiting.count(request.service),
            until=round(parts.waiting.seconds_left(ticket), 3),
            heard=round(parts.loads.news_age(), 2),
            tried=sorted(excluded),
            paused=[
                endpoint.id
                for endpoint in endpoints
                if parts.health.is_avoided(endpoint)
            ],
            # Engines that load weights or have old ones.
            changing=[
                endpoint.id
                for endpoint in endpoints
                if endpoint.id not in fit_ids
            ],
            loads={
                endpoint.id: _brief(loads_by_id.get(endpoint.id))
                for endpoint in endpoints[:MAX_LOGGED_ENDPOINTS]
            },
        )


def _brief(load):
    """Return a load for the log: requests, tokens held, tokens unread."""
    load = load or fleet_loads.Load()
    return [load.running, load.memory_tokens, load.unread_tokens]


def _brief_parts(request, chain):
    """Return the shared parts for the log: short name and tokens each."""
    return [
        [piece[:LOGGED_PIECE_BYTES].hex(), part.tokens]
        for piece, part in zip(chain, request.hints.parts, strict=False)
    ]


def _inputs(chosen, candidates):
    """Return what decided on a candidate, for the log."""
    return {
        'candidates': len(candidates),
        'running': chosen.load.running,
        'unread': chosen.load.unread_tokens,
        'streams': chosen.load.streams,
        'reading': round(chosen.reading_share, 2),
        'cached': chosen.cached_tokens,
        'home': chosen.is_home,
    }


def _holder(chosen, candidates):
    """Return the candidate to fetch cached parts from, or None."""
    holders = [
        candidate
        for candidate in candidates
        if candidate.cached_tokens > chosen.cached_tokens
        and candidate.weights_version == chosen.weights_version
    ]
    return max(
        holders,
        key=lambda candidate: (
            candidate.cached_tokens,
            candidate.endpoint.data_centre == chosen.endpoint.data_centre,
        ),
        default=None,
    )
