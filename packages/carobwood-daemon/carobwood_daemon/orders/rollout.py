"""Brings the engines to the weights that the documents ask for."""

import secrets
import time

from carobwood import events

from ..membership import keepers
from ..replication import commands

PERIOD = 0.5
MAX_AT_ONCE = 2
SHARE_AT_ONCE = 3
RETRY_SECONDS = 30.0
COMMIT_TIMEOUT = 5.0
OPERATOR = 'rollout'

_OPERATION_ID_BYTES = 16


class Rollout(keepers.Keeper):
    """Places orders to load weights, on the leader only.

    An engine with weights that no former document asked for was prepared
    by an operator and is left alone. At most a third of a pool's engines,
    and at most two, are ordered at a time, and never the last one that
    serves. ``OrderSender`` drains an engine before it sends the order.
    """

    period = PERIOD

    def __init__(self, voter, store, directory, proposer):
        super().__init__('rollout')
        self._voter = voter
        self._store = store
        self._directory = directory
        self._proposer = proposer
        self._ordered_at = {}

    def step(self):
        """Place the orders that may be placed now."""
        if not self._voter.is_running:
            return
        if not self._voter.replica.holds_lease():
            return
        fleet = self._store.fleet
        for environment in fleet.history_by_environment:
            document = fleet.document(environment)
            for model in document.models:
                if _is_alone(document, model):
                    self._advance(environment, model)

    def _advance(self, environment, model):
        engines = [
            endpoint
            for endpoint in self._directory.endpoints()
            if endpoint.pool == model.pool
            and endpoint.environment == environment
            and not endpoint.leaving
        ]
        withheld = self._store.fleet.withheld_endpoints()
        busy = [e for e in engines if e.id in withheld]
        limit = min(MAX_AT_ONCE, max(1, len(engines) // SHARE_AT_ONCE))
        former = self._store.fleet.former_weights(environment, model.id)
        outdated = [e for e in engines if e.weights_version in former]
        for endpoint in self._due(outdated, withheld, model):
            is_last = len(busy) + 1 >= len(engines)
            if len(busy) >= limit or is_last:
                return
            self._order(endpoint, model)
            busy.append(endpoint)

    def _due(self, outdated, withheld, model):
        now = time.monotonic()
        found = []
        for endpoint in outdated:
            if endpoint.id in withheld:
                continue
            key = (endpoint.id, endpoint.incarnation, model.weights_version)
            ordered_at = self._ordered_at.get(key, float('-inf'))
            if now - ordered_at >= RETRY_SECONDS:
                found.append(endpoint)
        # The least busy are drained soonest.
        return sorted(found, key=lambda e: (e.running + e.waiting, e.id))

    def _order(self, endpoint, model):
        command = commands.PlaceOrder(
            secrets.token_hex(_OPERATION_ID_BYTES),
            endpoint.id,
            'load-weights',
            model.weights_version,
            OPERATOR,
        )
        self._proposer.submit(command, COMMIT_TIMEOUT)
        key = (endpoint.id, endpoint.incarnation, model.weights_version)
        self._ordered_at[key] = time.monotonic()
        events.emit(
            events.ROLLOUT_ORDERED,
            endpoint=endpoint.id,
            model=model.id,
            weights=model.weights_version,
        )


def _is_alone(document, model):
    # Two models that share engines could not agree on their weights.
    sharing = [m for m in document.models if m.pool == model.pool]
    return len({m.weights_version for m in sharing}) == 1
