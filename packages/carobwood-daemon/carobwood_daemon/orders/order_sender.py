"""Sends committed orders to engines, on the leader only."""

import json
import threading
import time

import urllib3

from carobwood import errors
from carobwood import events

from ..membership import keepers
from ..replication import commands

PERIOD = 0.2
MAX_LOADS = 2
DRAIN_TIMEOUT = 60.0
DRAIN_POLL = 0.1
ORDER_TIMEOUT = 60.0
ANNOUNCE_TIMEOUT = 5.0
COMMIT_TIMEOUT = 5.0
ORDERS_PATH = '/v1/orders'
DEFAULT_PAUSE = 1.0
MAX_PAUSE = 60.0
_BUSY_STATUSES = (429, 503)


class OrderSender(keepers.Keeper):
    """Carries orders out while this VM's replica holds the lease.

    An order is committed before it is sent and carries its log index as
    fencing number, so that an engine that checks can refuse an older
    one. For engines that do not check, the leader first outlives every
    older lease and reads the engine's state back afterwards.
    """

    period = PERIOD

    def __init__(self, voter, store, directory, proposer):
        super().__init__('orders')
        self._voter = voter
        self._store = store
        self._directory = directory
        self._proposer = proposer
        self._lock = threading.Lock()
        self._in_progress = set()
        self._due_at_by_fencing = {}
        self._http = urllib3.PoolManager(retries=False)

    def step(self):
        """Start the orders that may be carried out now."""
        if not self._may_send():
            return
        for order in self._store.fleet.pending_orders():
            with self._lock:
                known = order.fencing_number in self._in_progress
                if (
                    known
                    or not self._is_due(order)
                    or len(self._in_progress) >= MAX_LOADS
                ):
                    continue
                self._in_progress.add(order.fencing_number)
            threading.Thread(
                target=self._carry_out,
                args=(order,),
                name=f'order-{order.fencing_number}',
                daemon=True,
            ).start()

    def _is_due(self, order):
        due_at = self._due_at_by_fencing.get(order.fencing_number, 0.0)
        return time.monotonic() >= due_at

    def _defer(self, order, retry_after):
        seconds = DEFAULT_PAUSE
        if retry_after.isdigit():
            seconds = min(MAX_PAUSE, int(retry_after))
        due_at = time.monotonic() + seconds
        self._due_at_by_fencing[order.fencing_number] = due_at

    def _may_send(self):
        if not self._voter.is_running:
            return False
        return self._voter.replica.holds_lease()

    def _carry_out(self, order):
        try:
            state, detail = self._attempt(order)
            if state:
                command = commands.FinishOrder(
                    order.fencing_number, state, detail
                )
                self._proposer.submit(command, COMMIT_TIMEOUT)
                events.emit(
                    events.ORDER_FINISHED,
                    fencing=order.fencing_number,
                    endpoint=order.endpoint_id,
                    state=state,
                    detail=detail,
                )
        except errors.CarobwoodError:
            # It stays pending; this leader or the next one goes on.
            pass
        finally:
            with self._lock:
                self._in_progress.discard(order.fencing_number)

    def _attempt(self, order):
        endpoint = self._directory.find_endpoint(order.endpoint_id)
        if endpoint is None:
            return 'refused', 'the endpoint is not known'
        if order.needs_drain:
            if not self._has_other_capacity(endpoint):
                return 'refused', 'no other endpoint of the pool would serve'
            if not self._await_drained(order):
                # It stays pending and withheld; nothing is cut.
                return '', ''
        if not self._checks_fencing(endpoint):
            self._await_older_leases()
        if not self._may_send():
            return '', ''
        return self._send(order, endpoint)

    def _has_other_capacity(self, endpoint):
        withheld = self._store.fleet.withheld_endpoints()
        return any(
            other.pool == endpoint.pool
            and other.environment == endpoint.environment
            and other.id != endpoint.id
            and not other.leaving
            and other.id not in withheld
            for other in self._directory.endpoints()
        )

    def _await_drained(self, order):
        # Two announcements show that no VM still sends it work.
        deadline = time.monotonic() + DRAIN_TIMEOUT
        idle_sequences = set()
        while len(idle_sequences) < 2 and time.monotonic() < deadline:
            endpoint = self._directory.find_endpoint(order.endpoint_id)
            if endpoint is not None and endpoint.running == 0:
                idle_sequences.add(endpoint.sequence)
            else:
                idle_sequences.clear()
            time.sleep(DRAIN_POLL)
        return len(idle_sequences) >= 2

    def _checks_fencing(self, endpoint):
        document = self._store.fleet.document(endpoint.environment)
        pool = document.pools_by_id.get(endpoint.pool) if document else None
        return pool is not None and pool.checks_fencing

    def _await_older_leases(self):
        while self._may_send():
            if self._voter.replica.outlived_older_leases():
                return
            time.sleep(DRAIN_POLL)

    def _send(self, order, endpoint):
        message = {
            'fencing_number': order.fencing_number,
            'kind': order.kind,
            'argument': order.argument,
        }
        url = f'http://{endpoint.address}{ORDERS_PATH}'
        try:
            answer = self._http.request(
                'POST',
                url,
                body=json.dumps(message).encode('utf-8'),
                headers={'Content-Type': 'application/json'},
                timeout=ORDER_TIMEOUT,
            )
            state = self._http.request('GET', url, timeout=ORDER_TIMEOUT)
        except urllib3.exceptions.HTTPError:
            return '', ''
        if answer.status in _BUSY_STATUSES:
            # The weight store or the engine asks to come back later.
            self._defer(order, answer.headers.get('Retry-After', ''))
            return '', ''
        if answer.status == 409:
            return 'refused', 'the engine has followed a newer order'
        if answer.status != 200:
            return 'refused', f'the engine answered {answer.status}'
        if json.loads(state.data) != message:
            return 'refused', 'the engine does not show the order'
        self._await_announced(order)
        return 'done', ''

    def _await_announced(self, order):
        # Until VMs know its weights, none could send it work.
        deadline = time.monotonic() + ANNOUNCE_TIMEOUT
        while time.monotonic() < deadline:
            endpoint = self._directory.find_endpoint(order.endpoint_id)
            if order.kind != 'load-weights' or endpoint is None:
                return
            if endpoint.weights_version == order.argument:
                return
            time.sleep(DRAIN_POLL)
