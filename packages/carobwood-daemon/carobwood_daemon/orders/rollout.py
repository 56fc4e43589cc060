"""Rolls the weights that the documents name out to the engines."""

import secrets
import time

from carobwood import events

from ..membership import periodic_tasks
from ..replication import commands

PERIOD_SECONDS = 0.5
MAX_CONCURRENT_ORDERS = 2
# One order at a time for every three engines of a pool.
ENGINES_PER_ORDER = 3
# Minimum time between two orders to an engine to load the same weights.
RETRY_SECONDS = 30.0
COMMIT_TIMEOUT_SECONDS = 5.0
OPERATOR_NAME = 'rollout'

_OPERATION_ID_BYTES = 16


class Rollout(periodic_tasks.PeriodicTask):
    """Places orders to load weights, on the leader only.

    An engine is ordered to load new weights only if it has weights that an
    earlier version of the document named. Any other weights were loaded by
    an operator and are kept. At most a third of a pool's engines, but at
    least one and at most two, load at a time, and never the last one in
    service. ``OrderSender`` drains an engine before it sends the order.
    """

    period = PERIOD_SECONDS

    def __init__(self, replica_runner, store, directory, proposer):
        super().__init__('rollout')
        self._replica_runner = replica_runner
        self._store = store
        self._directory = directory
        self._proposer = proposer
        self._ordered_at_by_key = {}

    def run_once(self):
        """Place the orders that may be placed now."""
        if not self._replica_runner.is_running:
            return
        if not self._replica_runner.replica.holds_lease():
            return
        fleet = self._store.fleet
        for environment in fleet.history_by_environment:
            document = fleet.document(environment)
            for model in document.models:
                if _has_consistent_weights(document, model):
                    self._roll_out(environment, model)

    def _roll_out(self, environment, model):
        engines = [
            endpoint
            for endpoint in self._directory.endpoints()
            if endpoint.pool == model.pool
            and endpoint.environment == environment
            and not endpoint.leaving
        ]
        withheld = self._store.fleet.unavailable_endpoints()
        busy = [e for e in engines if e.id in withheld]
        limit = min(
            MAX_CONCURRENT_ORDERS, max(1, len(engines) // ENGINES_PER_ORDER)
        )
        earlier_weights = self._store.fleet.previous_weights_versions(
            environment, model.id
        )
        outdated = [e for e in engines if e.weights_version in earlier_weights]
        for endpoint in self._due_engines(outdated, withheld, model):
            is_last = len(busy) + 1 >= len(engines)
            if len(busy) >= limit or is_last:
                return
            self._order(endpoint, model)
            busy.append(endpoint)

    def _due_engines(self, outdated, withheld, model):
        now = time.monotonic()
        due = []
        for endpoint in outdated:
            if endpoint.id in withheld:
                continue
            key = (endpoint.id, endpoint.incarnation, model.weights_version)
            ordered_at = self._ordered_at_by_key.get(key, float('-inf'))
            if now - ordered_at >= RETRY_SECONDS:
                due.append(endpoint)
        # Engines with the fewest requests first: they drain soonest.
        return sorted(due, key=lambda e: (e.running + e.waiting, e.id))

    def _order(self, endpoint, model):
        command = commands.PlaceOrder(
            secrets.token_hex(_OPERATION_ID_BYTES),
            endpoint.id,
            'load-weights',
            model.weights_version,
            OPERATOR_NAME,
        )
        self._proposer.submit(command, COMMIT_TIMEOUT_SECONDS)
        key = (endpoint.id, endpoint.incarnation, model.weights_version)
        self._ordered_at_by_key[key] = time.monotonic()
        events.emit(
            events.ROLLOUT_ORDERED,
            endpoint=endpoint.id,
            model=model.id,
            weights=model.weights_version,
        )


def _has_consistent_weights(document, model):
    # Models that share a pool but name different weights would order its
    # engines back and forth.
    sharing = [m for m in document.models if m.pool == model.pool]
    return len({m.weights_version for m in sharing}) == 1
