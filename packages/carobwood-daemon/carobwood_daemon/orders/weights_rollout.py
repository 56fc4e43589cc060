"""Rolls the weights that operators name out to the engines.

Expected load: new versions are named every few seconds. Each load empties
an engine's cache and takes the engine out of service for a while, and
loads slow each other down when too many run at once.

Only the leader of the replicated state sends orders, with its term as the
fencing token. It must hold the lock on orders (see ``orders_lock``) and have
its leadership confirmed by a quorum.
"""

import dataclasses
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events

from ..membership import periodic_tasks
from ..relay import messages

PERIOD_SECONDS = 0.1
# Greatest share of a service's engines that load at a time.
MAX_LOADING_SHARE = 0.4
# Number of engines that may load at a time, even if it exceeds the share.
MIN_CONCURRENT_LOADS = 2
# Time between the report that an engine is loading and the order to it, in
# which the report reaches the VMs that would send it requests.
GOSSIP_DELAY_SECONDS = 0.3
CALL_TIMEOUT_SECONDS = 1.0
POLL_SECONDS = 0.1
# Time before a failed load of an engine is retried.
RETRY_SECONDS = 1.0
# Time after which a load that has not ended is abandoned; a later order
# retries it.
LOAD_TIMEOUT_SECONDS = 6.0


@dataclasses.dataclass(frozen=True)
class EngineStatus:
    """State of an engine within a rollout.

    Attributes:
        endpoint: the ``Endpoint``.
        version: version of the weights that it has, or 0 if unknown.
        is_loading: whether this VM has a load of it in progress.
    """

    endpoint: object
    version: int
    is_loading: bool


def choose_loads(engines, wanted):
    """Select the engines that load a version of the weights next.

    Engines in data centres without a load in progress go first, so that no
    data centre loses all its engines. Among them, those with the oldest
    weights go first.

    Args:
        engines: ``EngineStatus`` of all engines of a service.
        wanted: the target version of the weights.

    Returns:
        The ``Endpoint`` of each selected engine, in this order.
    """
    limit = max(MIN_CONCURRENT_LOADS, int(len(engines) * MAX_LOADING_SHARE))
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


class WeightsRollout(periodic_tasks.PeriodicTask):
    """Orders engines to load the latest weights while this VM leads."""

    period = PERIOD_SECONDS

    def __init__(
        self,
        replica_runner,
        orders_lock,
        configuration_store,
        directory,
        weights,
        dialect,
        options,
    ):
        """Create the rollout.

        Args:
            replica_runner: the ``ReplicaRunner``.
            orders_lock: the ``OrdersLock``, which locks the right to send
                orders.
            configuration_store: the ``ConfigurationStore``.
            directory: the ``Directory``.
            weights: the ``EngineWeights``.
            dialect: the ``Dialect``.
            options: the ``RolloutOptions``.
        """
        super().__init__('weights-rollout')
        self._replica_runner = replica_runner
        self._orders_lock = orders_lock
        self._configuration_store = configuration_store
        self._directory = directory
        self._weights = weights
        self._dialect = dialect
        self._options = options
        self._lock = threading.Lock()
        self._loading = set()
        self._retry_at_by_key = {}
        self._number = 0

    def run_once(self):
        """Start the loads that are due; release the lock if none is."""
        configuration = self._configuration_store.configuration
        if configuration is None:
            return
        is_due = False
        for service in configuration.services:
            if service.engine is None:
                continue
            for model in service.engine.models:
                is_due = self._roll_out(service, model) or is_due
        with self._lock:
            is_idle = not is_due and not self._loading
        if is_idle:
            self._orders_lock.release()

    def _roll_out(self, service, model):
        """Start the loads of a model that are due.

        Args:
            service: the service of the configuration.
            model: name of the model.

        Returns:
            Whether any load is due, also if none could be started.
        """
        wanted = self._weights.target_version(model)
        if not wanted:
            return False
        engines = [
            EngineStatus(
                endpoint,
                self._find_version(service, endpoint, model),
                self._key(endpoint) in self._loading,
            )
            for endpoint in self._directory.serving_endpoints()
            if endpoint.pool == service.name
            and self._may_have(service, endpoint, model)
            and not self._is_paused(endpoint, model)
        ]
        selected = choose_loads(engines, wanted)
        if not selected or not self._orders_lock.acquire():
            return bool(selected)
        for endpoint in selected:
            with self._lock:
                self._loading.add(self._key(endpoint))
            threading.Thread(
                target=self._load,
                args=(endpoint, model),
                name=f'load-{endpoint.id}',
                daemon=True,
            ).start()
        return True

    def _find_version(self, service, endpoint, model):
        """Return an engine's version of a model, or 0 if unknown.

        A version that was reported without a model may be that of another
        one if the service has several.
        """
        if len(service.engine.models) > 1:
            return self._weights.versions_by_model(endpoint).get(model, 0)
        return self._weights.version(endpoint, model)

    def _may_have(self, service, endpoint, model):
        """Return whether an engine may have one of its service's models."""
        if len(service.engine.models) < 2:
            return True
        known = self._weights.versions_by_model(endpoint)
        return not known or model in known

    def _load(self, endpoint, model):
        term = self._replica_runner.replica.term
        try:
            self._report_start(endpoint, term, model)
            threading.Event().wait(GOSSIP_DELAY_SECONDS)
            version = self._order_and_await(endpoint, model, term)
            self._report_end(endpoint, term, version)
        except (errors.EngineCallFailed, errors.EngineOrderRefused) as error:
            self._report_end(endpoint, term, 0)
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
                self._retry_at_by_key[self._key(endpoint), model] = retry_at
        finally:
            with self._lock:
                self._loading.discard(self._key(endpoint))

    def _order_and_await(self, endpoint, model, term):
        report = self._read_report(endpoint)
        if model not in report.weights_by_model:
            return 0
        version = report.weights_by_model[model]
        wanted = self._weights.target_version(model)
        if version < wanted and not report.is_busy:
            self._order(endpoint, model, wanted, term, report)
            version = 0
        deadline = clocks.now() + LOAD_TIMEOUT_SECONDS
        while version < wanted and clocks.now() < deadline:
            threading.Event().wait(POLL_SECONDS)
            report = self._read_report(endpoint)
            if not report.is_busy:
                version = report.weights_by_model.get(model, 0)
        return version

    def _read_report(self, endpoint):
        report = self._dialect.read_engine_report(
            endpoint.address, CALL_TIMEOUT_SECONDS
        )
        if not report.is_busy:
            self._weights.record_models(endpoint, report.weights_by_model)
        return report

    def _order(self, endpoint, model, version, term, report):
        if (
            not self._orders_lock.is_held()
            or self._replica_runner.replica.term != term
        ):
            raise errors.EngineCallFailed(
                'this VM has lost the lock on orders'
            )
        order = messages.WeightsOrder(
            endpoint.id,
            endpoint.address,
            model,
            version,
            self._options.vm_id,
            term,
            report.accepted_orders,
            # Waiting for running requests to finish could delay the load
            # by seconds.
            messages.RunningRequestPolicy.CONTINUE,
        )
        self._orders_lock.note_order()
        self._dialect.send_weights_order(order, CALL_TIMEOUT_SECONDS)
        events.emit(
            events.WEIGHTS_ORDERED,
            endpoint=endpoint.id,
            model=model,
            version=version,
            before=report.weights_by_model.get(model, 0),
            term=term,
        )

    def _report_start(self, endpoint, term, model):
        number = self._next_report_number(term)
        if self._has_several_models(endpoint):
            # Requests for the other models go on.
            self._weights.record_load_model(endpoint, number, model)
        self._report(endpoint, number, 0, True)

    def _report_end(self, endpoint, term, version):
        if self._has_several_models(endpoint):
            # The report has no room for the model; it was recorded by name.
            version = 0
        self._report(endpoint, self._next_report_number(term), version, False)

    def _has_several_models(self, endpoint):
        return len(self._weights.versions_by_model(endpoint)) > 1

    def _next_report_number(self, term):
        with self._lock:
            self._number += 1
            return term, self._number

    def _report(self, endpoint, number, version, is_loading):
        self._weights.record_report(
            endpoint.id, endpoint.incarnation, number, version, is_loading
        )
        self._options.push()

    def _is_paused(self, endpoint, model):
        key = (self._key(endpoint), model)
        retry_at = self._retry_at_by_key.get(key, 0.0)
        return clocks.now() < retry_at

    @staticmethod
    def _key(endpoint):
        return (endpoint.id, endpoint.incarnation)


@dataclasses.dataclass(frozen=True)
class RolloutOptions:
    """Properties of the VM that a rollout runs on.

    Attributes:
        vm_id: name of this VM, sent as the holder in its orders.
        push: function without arguments that starts gossip with the
            other VMs now.
    """

    vm_id: str
    push: object
