"""Brings engines to the weights that operators have named.

Load pattern: new versions are named every few seconds, each load empties
an engine's cache and takes it out for a while, and loads slow each other
down when too many run at once.

Only the leader of the replicated state gives orders, under its term as
the fence, in its turn (see ``turn``), and only while a quorum confirms
that it leads.
"""

import dataclasses
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events

from ..membership import keepers
from ..relay import messages

PERIOD = 0.1
# Share of a service's engines that load at once.
LOADS_SHARE = 0.4
MIN_LOADS = 2
# Time in which entry VMs hear that an engine takes no work.
WITHHOLD_SECONDS = 0.3
CALL_SECONDS = 1.0
POLL_SECONDS = 0.1
# Pause before an engine that failed to load is tried again.
RETRY_SECONDS = 1.0
# A load that has not ended by then is left to a later order.
LOAD_SECONDS = 6.0


@dataclasses.dataclass(frozen=True)
class EngineStatus:
    """An engine as a rollout sees it.

    Attributes:
        endpoint: the ``Endpoint``.
        version: weights that it is known to have, or 0.
        is_loading: whether it is being loaded.
    """

    endpoint: object
    version: int
    is_loading: bool


def choose_loads(engines, wanted):
    """Return the endpoints that shall load a version next.

    The engines furthest behind go first, and the data centres take
    turns, so that none of them loses all its engines.

    Args:
        engines: ``EngineStatus`` of all engines of a service.
        wanted: the version that they shall have.
    """
    limit = max(MIN_LOADS, int(len(engines) * LOADS_SHARE))
    loading = [engine for engine in engines if engine.is_loading]
    due = [
        engine
        for engine in engines
        if engine.version < wanted and not engine.is_loading
    ]
    busy_centres = {engine.endpoint.data_centre for engine in loading}
    due.sort(
        key=lambda engine: (
            engine.endpoint.data_centre in busy_centres,
            engine.version,
            engine.endpoint.id,
        )
    )
    free = max(0, limit - len(loading))
    return [engine.endpoint for engine in due[:free]]


class WeightsRollout(keepers.Keeper):
    """Orders engines to load weights while this VM leads."""

    period = PERIOD

    def __init__(
        self, voter, turn, state, directory, weights, dialect, options
    ):
        """Create the rollout.

        Args:
            voter: the ``Voter``.
            turn: the ``OrdersTurn``.
            state: the ``RelayState``.
            directory: the ``Directory``.
            weights: the ``EngineWeights``.
            dialect: the ``Dialect``.
            options: the ``RolloutOptions``.
        """
        super().__init__('weights-rollout')
        self._voter = voter
        self._turn = turn
        self._state = state
        self._directory = directory
        self._weights = weights
        self._dialect = dialect
        self._options = options
        self._lock = threading.Lock()
        self._loading = set()
        self._retry_at_by_key = {}
        self._number = 0

    def step(self):
        """Start the loads that are due."""
        configuration = self._state.configuration
        if configuration is None:
            return
        is_due = False
        for service in configuration.services:
            if service.engine is None:
                continue
            for model in service.engine.models:
                is_due = self._roll(service.name, model) or is_due
        with self._lock:
            is_idle = not is_due and not self._loading
        if is_idle:
            self._turn.release()

    def _roll(self, service, model):
        """Start loads that are due; return whether there are any."""
        wanted = self._weights.wanted(model)
        if not wanted:
            return False
        engines = [
            EngineStatus(
                endpoint,
                self._weights.version(endpoint),
                self._key(endpoint) in self._loading,
            )
            for endpoint in self._directory.present_endpoints()
            if endpoint.pool == service and not self._is_paused(endpoint)
        ]
        chosen = choose_loads(engines, wanted)
        if not chosen or not self._turn.take():
            return bool(chosen)
        for endpoint in chosen:
            with self._lock:
                self._loading.add(self._key(endpoint))
            threading.Thread(
                target=self._load,
                args=(endpoint, model),
                name=f'load-{endpoint.id}',
                daemon=True,
            ).start()
        return True

    def _load(self, endpoint, model):
        term = self._voter.replica.term
        try:
            self._announce(endpoint, term, 0, True)
            threading.Event().wait(WITHHOLD_SECONDS)
            version = self._order_and_await(endpoint, model, term)
            self._announce(endpoint, term, version, False)
        except (errors.EngineCallFailed, errors.EngineOrderRefused) as error:
            self._announce(endpoint, term, 0, False)
            events.emit(
                events.WEIGHTS_ORDER_FAILED,
                endpoint=endpoint.id,
                model=model,
                term=term,
                code=error.code,
                detail=error.detail,
            )
            with self._lock:
                retry_at = clocks.now() + RETRY_SECONDS
                self._retry_at_by_key[self._key(endpoint)] = retry_at
        finally:
            with self._lock:
                self._loading.discard(self._key(endpoint))

    def _order_and_await(self, endpoint, model, term):
        address = endpoint.address
        report = self._dialect.read_report(address, CALL_SECONDS)
        version = report.weights_by_model.get(model, 0)
        wanted = self._weights.wanted(model)
        if version < wanted and not report.is_busy:
            self._order(endpoint, model, wanted, term, report)
            version = 0
        due_at = clocks.now() + LOAD_SECONDS
        while version < wanted and clocks.now() < due_at:
            threading.Event().wait(POLL_SECONDS)
            report = self._dialect.read_report(address, CALL_SECONDS)
            if not report.is_busy:
                version = report.weights_by_model.get(model, 0)
        return version

    def _order(self, endpoint, model, version, term, report):
        if not self._turn.is_held() or self._voter.replica.term != term:
            raise errors.EngineCallFailed('this VM no longer gives orders')
        order = messages.WeightsOrder(
            endpoint.id,
            endpoint.address,
            model,
            version,
            self._options.vm_id,
            term,
            report.accepted_orders,
            # Long runs would keep the engine from its load for seconds.
            messages.RunPolicy.GO_ON,
        )
        self._turn.note_order()
        self._dialect.order_weights(order, CALL_SECONDS)
        events.emit(
            events.WEIGHTS_ORDERED,
            endpoint=endpoint.id,
            model=model,
            version=version,
            before=report.weights_by_model.get(model, 0),
            term=term,
        )

    def _announce(self, endpoint, term, version, is_loading):
        with self._lock:
            self._number += 1
            order = (term, self._number)
        self._weights.note_order(
            endpoint.id, endpoint.incarnation, order, version, is_loading
        )
        self._options.spread()

    def _is_paused(self, endpoint):
        retry_at = self._retry_at_by_key.get(self._key(endpoint), 0.0)
        return clocks.now() < retry_at

    @staticmethod
    def _key(endpoint):
        return (endpoint.id, endpoint.incarnation)


@dataclasses.dataclass(frozen=True)
class RolloutOptions:
    """What a rollout needs to know of its VM.

    Attributes:
        vm_id: name of this VM, the holder of its orders.
        spread: called without arguments to tell the other VMs at once.
    """

    vm_id: str
    spread: object
