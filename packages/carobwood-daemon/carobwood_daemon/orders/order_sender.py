"""Sends committed orders to engines, on the leader only."""

import json
import threading
import time

from carobwood import errors
from carobwood import events

from ..entry import bounded_call
from ..membership import periodic_tasks
from ..replication import commands

PERIOD_SECONDS = 0.2
# Greatest number of orders that are executed at a time.
MAX_CONCURRENT_ORDERS = 2
DRAIN_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.1
ORDER_TIMEOUT_SECONDS = 60.0
ANNOUNCE_TIMEOUT_SECONDS = 5.0
COMMIT_TIMEOUT_SECONDS = 5.0
ORDERS_PATH = '/v1/orders'
MAX_ANSWER_BYTES = 64 * 1024
DEFAULT_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0
_BUSY_STATUSES = (429, 503)


class OrderSender(periodic_tasks.PeriodicTask):
    """Executes pending orders while this VM's replica holds the lease.

    An order is committed before it is sent. It carries its log index as a
    fencing token, so that an engine that checks the token can refuse an
    order older than the last one that it followed. For engines that do not
    check it, a new leader first waits until the leases of earlier leaders
    have expired. After sending an order it reads the engine's state back.
    """

    period = PERIOD_SECONDS

    def __init__(self, replica_runner, store, directory, proposer):
        super().__init__('orders')
        self._replica_runner = replica_runner
        self._store = store
        self._directory = directory
        self._proposer = proposer
        self._lock = threading.Lock()
        self._in_progress = set()
        self._retry_at_by_fencing = {}
        self._failed_fencing_numbers = set()
        self._caller = bounded_call.HttpCaller()

    def run_once(self):
        """Start the pending orders that may be executed now."""
        if not self._may_send():
            return
        # Engines that fail again and again would take all places otherwise.
        pending = sorted(
            self._store.fleet.pending_orders(), key=self._retry_time
        )
        for order in pending:
            with self._lock:
                is_in_progress = order.fencing_number in self._in_progress
                if (
                    is_in_progress
                    or not self._is_due(order)
                    or len(self._in_progress) >= MAX_CONCURRENT_ORDERS
                ):
                    continue
                self._in_progress.add(order.fencing_number)
            threading.Thread(
                target=self._execute,
                args=(order,),
                name=f'order-{order.fencing_number}',
                daemon=True,
            ).start()

    def _is_due(self, order):
        return time.monotonic() >= self._retry_time(order)

    def _retry_time(self, order):
        return self._retry_at_by_fencing.get(order.fencing_number, 0.0)

    def _defer(self, order, retry_after):
        seconds = DEFAULT_RETRY_SECONDS
        if retry_after.isdigit():
            seconds = min(MAX_RETRY_SECONDS, int(retry_after))
        retry_at = time.monotonic() + seconds
        self._retry_at_by_fencing[order.fencing_number] = retry_at

    def _may_send(self):
        if not self._replica_runner.is_running:
            return False
        return self._replica_runner.replica.holds_lease()

    def _execute(self, order):
        try:
            state, detail = self._attempt(order)
            if state:
                command = commands.FinishOrder(
                    order.fencing_number, state, detail
                )
                self._proposer.submit(command, COMMIT_TIMEOUT_SECONDS)
                events.emit(
                    events.ORDER_FINISHED,
                    fencing=order.fencing_number,
                    endpoint=order.endpoint_id,
                    state=state,
                    detail=detail,
                )
        except errors.CarobwoodError:
            # The order stays pending; this leader or the next one retries.
            pass
        finally:
            with self._lock:
                self._in_progress.discard(order.fencing_number)

    def _attempt(self, order):
        endpoint = self._directory.find_endpoint(order.endpoint_id)
        if endpoint is None:
            return 'refused', 'the endpoint is unknown'
        if order.needs_drain:
            if not self._has_other_serving_endpoint(endpoint):
                return 'refused', 'no other endpoint of the pool is in service'
            if not self._await_drained(order):
                # The order stays pending and the engine gets no new
                # requests. Those that it still runs are not aborted.
                return '', ''
        if not self._checks_fencing(endpoint):
            self._await_older_leases()
        if not self._may_send():
            return '', ''
        return self._send(order, endpoint)

    def _has_other_serving_endpoint(self, endpoint):
        withheld = self._store.fleet.unavailable_endpoints()
        return any(
            other.pool == endpoint.pool
            and other.environment == endpoint.environment
            and other.id != endpoint.id
            and not other.leaving
            and other.id not in withheld
            for other in self._directory.endpoints()
        )

    def _await_drained(self, order):
        # Requires two different announcements without a running request,
        # because a VM may have sent a request just before the first one.
        deadline = time.monotonic() + DRAIN_TIMEOUT_SECONDS
        idle_sequences = set()
        while len(idle_sequences) < 2 and time.monotonic() < deadline:
            endpoint = self._directory.find_endpoint(order.endpoint_id)
            if endpoint is not None and endpoint.running == 0:
                idle_sequences.add(endpoint.sequence)
            else:
                idle_sequences.clear()
            time.sleep(POLL_SECONDS)
        return len(idle_sequences) >= 2

    def _checks_fencing(self, endpoint):
        document = self._store.fleet.document(endpoint.environment)
        pool = document.pools_by_id.get(endpoint.pool) if document else None
        return pool is not None and pool.checks_fencing

    def _await_older_leases(self):
        while self._may_send():
            if self._replica_runner.replica.older_leases_expired():
                return
            time.sleep(POLL_SECONDS)

    def _send(self, order, endpoint):
        message = {
            'fencing_number': order.fencing_number,
            'kind': order.kind,
            'argument': order.argument,
        }
        try:
            response = self._call(
                'POST', endpoint, json.dumps(message).encode('utf-8')
            )
            state = self._call('GET', endpoint)
        except errors.EngineCallFailed as error:
            self._note_failure(order, error.detail)
            # Meanwhile, the orders to other engines may be sent.
            self._defer(order, '')
            return '', ''
        self._failed_fencing_numbers.discard(order.fencing_number)
        if response.status in _BUSY_STATUSES:
            # The weight store or the engine is overloaded.
            self._defer(order, response.headers.get('Retry-After', ''))
            return '', ''
        if response.status == 409:
            return 'refused', 'the engine has already followed a newer order'
        if response.status != 200:
            return (
                'refused',
                f'the engine answered with status {response.status}',
            )
        if _decode_or_none(state.data) != message:
            return (
                'refused',
                'the engine does not report the order as its latest',
            )
        self._await_announcement(order)
        return 'done', ''

    def _call(self, method, endpoint, body=None):
        call = bounded_call.Call(
            method,
            endpoint.address,
            ORDERS_PATH,
            (('Content-Type', 'application/json'),) if body else (),
            body,
        )
        bounds = bounded_call.CallBounds(
            ORDER_TIMEOUT_SECONDS, MAX_ANSWER_BYTES
        )
        return self._caller.call(call, bounds)

    def _note_failure(self, order, detail):
        """Log that an engine gave no answer, once until it gives one."""
        if order.fencing_number in self._failed_fencing_numbers:
            return
        self._failed_fencing_numbers.add(order.fencing_number)
        events.emit(
            events.ORDER_CALL_FAILED,
            fencing=order.fencing_number,
            endpoint=order.endpoint_id,
            detail=detail,
        )

    def _await_announcement(self, order):
        # Before the VMs know the engine's new weights they send it no
        # requests, so the order is not done yet.
        deadline = time.monotonic() + ANNOUNCE_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            endpoint = self._directory.find_endpoint(order.endpoint_id)
            if order.kind != 'load-weights' or endpoint is None:
                return
            if endpoint.weights_version == order.argument:
                return
            time.sleep(POLL_SECONDS)


def _decode_or_none(content):
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        return None
