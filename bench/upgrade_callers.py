"""Callers of an upgrade run."""

import http.client
import random
import select
import time

import relay_builders
import relay_test_fleet
import upgrade_records

CALLER_COUNT = 12
MEAN_PAUSE_SECONDS = 0.25
TIMEOUT_SECONDS = 20.0
# A caller whose stream broke off comes back so often.
RETURNS = 3
RETURN_PAUSE_SECONDS = 0.3
LONG_STREAM_EVENTS = 30
STREAM_EVENTS = 6
LEAVE_AFTER_EVENTS = 3
KEPT_CONNECTION_SHARE = 0.5
LEAVING_SHARE = 0.1
OLD_KEY_SHARE = 0.1
NEW_KEY_SHARE = 0.1

# Customer that sends more than its limit.
GREEDY_CUSTOMER = 'greedy'
GREEDY_KEY = 'key-of-greedy-01'
CUSTOMER = 'bole'

_ROUTE_WEIGHTS = {'checks': 3, 'captions': 3, 'orders': 3, 'lookups': 2}


class Caller:
    """Sends one request after the other, each to a ready VM.

    Attributes:
        leaving_share: share of its resumable streams that it leaves early.
    """

    leaving_share = LEAVING_SHARE

    def __init__(
        self,
        processes,
        balancer,
        records,
        seed,
        stopped,
        deadline_seconds=relay_test_fleet.DEADLINE_SECONDS,
    ):
        """Create a caller.

        Args:
            processes: the ``RelayProcesses``.
            balancer: the ``Balancer``.
            records: the ``Records``.
            seed: seed of its random numbers.
            stopped: event that ends the run.
            deadline_seconds: time that it leaves for its requests.
        """
        self._processes = processes
        self._balancer = balancer
        self._records = records
        self._rng = random.Random(seed)
        self._stopped = stopped
        self._deadline_seconds = deadline_seconds
        self._connections_by_vm = {}

    def run(self):
        """Send requests until the end of the run."""
        while not self._stopped.wait(
            self._rng.expovariate(1 / MEAN_PAUSE_SECONDS)
        ):
            attempt = self._new_attempt()
            if attempt is None:
                continue
            self.send(attempt)
            if attempt.route == 'captions':
                self._return_for_the_rest(attempt)

    def run_greedily(self, pause_seconds):
        """Send requests of the greedy customer until the end of the run."""
        while not self._stopped.wait(pause_seconds):
            attempt = self._new_attempt()
            if attempt is not None:
                attempt.route = 'lookups'
                attempt.event_count = 0
                attempt.key = GREEDY_KEY
                attempt.customer = GREEDY_CUSTOMER
                self.send(attempt)

    def send(self, attempt):
        """Send an attempt and record it with its answer."""
        attempt.sent_at = time.monotonic()
        self._records.bodies_by_id[attempt.id] = self._body(attempt)
        self._records.paths_by_id[attempt.id] = path_of(attempt)
        self._records.attempts.append(attempt)
        connection = self._connect(attempt.vm_id)
        try:
            if connection.sock is None:
                connection.connect()
            attempt.connected_at = time.monotonic()
            self._send_request(connection, attempt)
            self._read_answer(connection, attempt)
        except (OSError, http.client.HTTPException) as error:
            attempt.failure = repr(error)
        attempt.ended_at = time.monotonic()
        if attempt.is_complete and self._keeps_connection():
            self._connections_by_vm[attempt.vm_id] = connection
        else:
            connection.close()

    def _body(self, attempt):
        return attempt.id.encode()

    def _send_request(self, connection, attempt):
        connection.request(
            'POST',
            path_of(attempt),
            _parts_of(
                self._records.bodies_by_id[attempt.id], attempt.is_chunked
            ),
            headers_of(attempt, self._deadline_seconds),
            encode_chunked=attempt.is_chunked,
        )
        attempt.all_sent_at = time.monotonic()

    def _read_answer(self, connection, attempt):
        leave_after = attempt.event_count
        if attempt.route == 'captions' and not attempt.resumes:
            if self._rng.random() < self.leaving_share:
                leave_after = LEAVE_AFTER_EVENTS
        response = connection.getresponse()
        attempt.status = response.status
        attempt.answered_id = response.headers.get(
            'X-Carobwood-Request-Id', ''
        )
        while data := response.read1():
            attempt.body += data
            if attempt.body.count(b'\n\n') >= leave_after > 0:
                if leave_after < attempt.event_count:
                    attempt.has_left = True
                    return
        end_answer(response)
        attempt.is_complete = True

    def _connect(self, vm_id):
        kept = self._connections_by_vm.pop(vm_id, None)
        if kept is not None and not _is_ended(kept):
            return kept
        vm = self._processes.vms_by_id[vm_id]
        return http.client.HTTPConnection(
            vm.host, self._processes.ports.callers, timeout=TIMEOUT_SECONDS
        )

    def _keeps_connection(self):
        return self._rng.random() < KEPT_CONNECTION_SHARE

    def _new_attempt(self):
        usable_ids = self._usable_vm_ids()
        if not usable_ids:
            return None
        route = self._rng.choices(
            list(_ROUTE_WEIGHTS), list(_ROUTE_WEIGHTS.values())
        )[0]
        event_count = 0
        if route in ('checks', 'captions'):
            event_count = self._rng.choice((STREAM_EVENTS, LONG_STREAM_EVENTS))
        return upgrade_records.Attempt(
            self._records.new_request_id(),
            self._rng.choice(usable_ids),
            route,
            self._choose_key(),
            CUSTOMER,
            event_count,
        )

    def _usable_vm_ids(self):
        return self._balancer.ready_ids

    def _choose_key(self):
        changes = self._records.changes
        draw = self._rng.random()
        if changes and draw < OLD_KEY_SHARE:
            withdrawn = self._rng.choice(changes).withdrawn_key
            return withdrawn or relay_builders.KEY
        if changes and draw < OLD_KEY_SHARE + NEW_KEY_SHARE:
            return changes[-1].added_key
        return relay_builders.KEY

    def _return_for_the_rest(self, attempt):
        """Come back for the rest of a stream, as long as it is not whole."""
        for _ in range(RETURNS):
            received = attempt.last_event()
            ready_ids = self._balancer.ready_ids
            is_over = attempt.is_served or received >= attempt.event_count
            if is_over or not received or not ready_ids:
                return
            if self._stopped.wait(RETURN_PAUSE_SECONDS):
                return
            resumed = self._resumed(attempt, self._rng.choice(ready_ids))
            self.send(resumed)
            attempt = resumed

    def _resumed(self, attempt, vm_id):
        """Return the attempt that goes on after another one's last event."""
        return attempt.unsent(
            self._records.new_request_id(),
            vm_id=vm_id,
            resumes=attempt.resumes or attempt.id,
            first_event=attempt.last_event() + 1,
        )


def _is_ended(connection):
    """Return whether an idle connection has been closed, and close it."""
    if connection.sock is None:
        return False
    is_readable = has_input(connection.sock, 0)
    if is_readable:
        connection.close()
    return is_readable


def has_input(sock, seconds):
    """Return whether a socket has bytes or its end within some seconds."""
    # The descriptor may be one that select() does not take.
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(1000 * seconds))


def end_answer(response):
    """Free the connection of an answer, of which no part may be missing.

    ``read1`` ends without an error if the connection does, and does not free
    it at the end of an answer of a declared length.
    """
    if response.length:
        raise http.client.IncompleteRead(b'', response.length)
    response.close()


def path_of(attempt):
    """Return the path of an ``Attempt``."""
    action = 'named'
    if attempt.event_count:
        action = f'paced-{attempt.event_count}'
    elif attempt.answer_bytes:
        action = f'large-{attempt.answer_bytes}'
    return f'/{attempt.route}/{action}'


def _parts_of(body, is_chunked):
    """Return a body, or an iterator over its parts if it goes in chunks."""
    if not is_chunked:
        return body
    middle = len(body) // 2
    return iter((body[:middle], body[middle:]))


def headers_of(attempt, deadline_seconds):
    """Return the headers of an ``Attempt``, which leave it some time."""
    headers = {
        'X_Carobwood_Deadline_Ms': str(int(deadline_seconds * 1000)),
        'Authorization': f'Bearer {attempt.key}',
        'X_Carobwood_Request_Id': attempt.id,
    }
    if attempt.is_chunked:
        headers['Transfer_Encoding'] = 'chunked'
    if attempt.resumes:
        headers['Resumes'] = attempt.resumes
        headers['Last_Event_Id'] = str(attempt.first_event - 1)
    return relay_test_fleet.caller_headers(**headers)
