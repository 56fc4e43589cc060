"""Callers of a soak with the habits of many kinds of clients.

They send short requests in a row, bodies in chunks, with and without
``Expect``; they read slowly, open connections ahead, use keys until they are
withdrawn, and take up a stream at another VM.
"""

import dataclasses
import http.client
import socket
import time

import relay_builders
import soak_callers
import upgrade_callers
import upgrade_operator

ROW_LENGTHS = (5, 20)
# Pieces of a body in chunks, their bytes, and the pauses between them.
PIECE_COUNTS = (1, 6)
PIECE_BYTES = (1, 8000)
PIECE_PAUSE_SECONDS = (0.0, 0.3)
EXPECT_SHARE = 0.4
# Time for which a caller waits for leave to send a body.
EXPECT_SECONDS = 1.0
READ_BYTES = (1, 64)
READ_PAUSE_SECONDS = (0.0, 0.6)
# More than the kernel buffers for a caller who doesn't read.
LARGE_BYTES = (500_000, 3_000_000)
# A large answer is read in so many pieces.
LARGE_PIECES = 10
LARGE_PAUSE_SECONDS = (0.0, 0.3)
SMALL_BUFFER_BYTES = 1024
LARGE_BUFFER_BYTES = 65536
IDLE_SECONDS = (1.0, 40.0)
MAX_IDLE_CONNECTIONS = 6
LEAVE_AFTER_EVENTS = (1, 10)


@dataclasses.dataclass(frozen=True)
class Way:
    """The way in which a caller sends a request and reads its answer.

    Attributes:
        expects: whether it waits for leave to send its body.
        reads_slowly: whether it pauses while it reads.
        leave_after: events after which it leaves, or 0.
    """

    expects: bool = False
    reads_slowly: bool = False
    leave_after: int = 0


class VariedCaller(soak_callers.KeepingCaller):
    """A caller that draws a habit for each of its requests."""

    leaving_share = 0.0

    def __init__(self, site, balancer, seed):
        """Create a caller of a ``Site``.

        Args:
            site: the ``Site``.
            balancer: the ``Balancer``.
            seed: seed of its random numbers.
        """
        super().__init__(site, balancer, seed)
        self._way = Way()
        self._weights_by_habit = {
            self._send_row: 3,
            self._send_in_chunks: 3,
            self._read_slowly: 2,
            self._read_large_slowly: 2,
            self._open_ahead: 4,
            self._use_oldest_key: 2,
            self._change_vm: 2,
        }
        # Connections that are left idle: time of their use and VM's ID.
        self._idle = []

    def run(self):
        """Send requests until the end of the run."""
        pause_rate = 1 / upgrade_callers.MEAN_PAUSE_SECONDS
        while not self._stopped.wait(self._rng.expovariate(pause_rate)):
            habits = list(self._weights_by_habit)
            weights = list(self._weights_by_habit.values())
            follow_habit = self._rng.choices(habits, weights)[0]
            attempt = self._new_attempt()
            if attempt is not None:
                follow_habit(attempt)
            self._use_due_connections()
        for _, _, connection in self._idle:
            connection.close()

    def _send_as(self, way, attempt):
        self._way = way
        self.send(attempt)
        self._way = Way()

    def _send_row(self, attempt):
        """Send short requests one after the other on a connection."""
        attempt.event_count = 0
        for _ in range(self._rng.randint(*ROW_LENGTHS)):
            attempt = attempt.unsent(
                self._records.new_request_id(),
                route=self._rng.choice(('orders', 'lookups')),
            )
            self._send_as(Way(expects=self._draw_expects()), attempt)
            if not attempt.is_complete or self._stopped.is_set():
                return

    def _send_in_chunks(self, attempt):
        """Send a body in chunks, with pauses."""
        attempt.is_chunked = True
        self._send_as(Way(expects=self._draw_expects()), attempt)

    def _read_slowly(self, attempt):
        self._send_as(Way(reads_slowly=True), attempt)

    def _read_large_slowly(self, attempt):
        """Read an answer so that its VM must wait for the caller."""
        attempt.route = self._rng.choice(('orders', 'lookups'))
        attempt.event_count = 0
        attempt.answer_bytes = self._rng.randint(*LARGE_BYTES)
        self._send_as(Way(reads_slowly=True), attempt)

    def _open_ahead(self, attempt):
        """Open a connection, or keep one, to leave it idle for some time."""
        kept = self._connections_by_vm.pop(attempt.vm_id, None)
        if kept is None or kept.sock is None or self._rng.random() < 0.5:
            if kept is not None:
                kept.close()
            kept = self._connect(attempt.vm_id)
            try:
                kept.connect()
            except OSError:
                return
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            due_at = time.monotonic() + self._rng.uniform(*IDLE_SECONDS)
            self._idle.append((due_at, attempt.vm_id, kept))
        else:
            kept.close()

    def _use_due_connections(self):
        now = time.monotonic()
        due = [each for each in self._idle if each[0] <= now]
        self._idle = [each for each in self._idle if each[0] > now]
        for _, vm_id, connection in due:
            other = self._connections_by_vm.pop(vm_id, None)
            if other is not None:
                other.close()
            self._connections_by_vm[vm_id] = connection
            attempt = self._new_attempt()
            if attempt is not None:
                attempt.vm_id = vm_id
                expects = self._draw_expects()
                self._send_as(Way(expects=expects), attempt)

    def _use_oldest_key(self, attempt):
        """Use the key that the next change withdraws."""
        version = 1 + len(self._records.changes)
        oldest = version - upgrade_operator.KEY_VERSIONS + 1
        key = upgrade_operator.key_of(oldest)
        attempt.key = key or relay_builders.KEY
        self.send(attempt)

    def _change_vm(self, attempt):
        """Leave a stream, and take it up at another VM at once."""
        attempt.route = 'captions'
        attempt.event_count = upgrade_callers.LONG_STREAM_EVENTS
        leave_after = self._rng.randint(*LEAVE_AFTER_EVENTS)
        self._send_as(Way(leave_after=leave_after), attempt)
        other_ids = set(self._balancer.ready_ids) - {attempt.vm_id}
        if attempt.last_event() and not attempt.is_served and other_ids:
            self.send(self._resumed(attempt, min(other_ids)))

    def _draw_expects(self):
        return self._rng.random() < EXPECT_SHARE

    def _new_attempt(self):
        attempt = super()._new_attempt()
        if attempt is not None:
            # The habit decides.
            attempt.is_chunked = False
        return attempt

    def _body(self, attempt):
        body = attempt.id.encode()
        if attempt.is_chunked:
            body += b'.' * self._rng.randint(*PIECE_BYTES)
        return body

    def _send_request(self, connection, attempt):
        if self._way.reads_slowly:
            # Through the small one, a large answer would take minutes.
            is_large = attempt.answer_bytes > 0
            size = LARGE_BUFFER_BYTES if is_large else SMALL_BUFFER_BYTES
            connection.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, size
            )
        if not attempt.is_chunked and not self._way.expects:
            super()._send_request(connection, attempt)
            return
        body = self._records.bodies_by_id[attempt.id]
        self._send_head(connection, attempt, body)
        try:
            if not self._may_send(connection):
                return
            self._send_body(connection, body, attempt.is_chunked)
            attempt.all_sent_at = time.monotonic()
        except OSError as error:
            # The VM may have answered before it has read the whole body.
            attempt.failure = repr(error)

    def _send_head(self, connection, attempt, body):
        connection.putrequest(
            'POST', upgrade_callers.path_of(attempt), skip_host=True
        )
        headers = upgrade_callers.headers_of(attempt, self._deadline_seconds)
        for name, value in headers.items():
            connection.putheader(name, value)
        if not attempt.is_chunked:
            connection.putheader('Content-Length', str(len(body)))
        if self._way.expects:
            connection.putheader('Expect', '100-continue')
        connection.endheaders()

    def _may_send(self, connection):
        """Return whether no answer has come in place of a leave to send."""
        if not self._way.expects:
            return True
        if not upgrade_callers.has_input(connection.sock, EXPECT_SECONDS):
            return True
        return _peek_status(connection.sock) in (0, http.client.CONTINUE)

    def _send_body(self, connection, body, is_chunked):
        if not is_chunked:
            connection.send(body)
            return
        count = self._rng.randint(*PIECE_COUNTS)
        size = len(body) // count + 1
        for start in range(0, len(body), size):
            time.sleep(self._rng.uniform(*PIECE_PAUSE_SECONDS))
            piece = body[start : start + size]
            connection.send(b'%x\r\n%s\r\n' % (len(piece), piece))
        connection.send(b'0\r\n\r\n')

    def _read_answer(self, connection, attempt):
        response = connection.getresponse()
        attempt.status = response.status
        attempt.answered_id = response.headers.get(
            'X-Carobwood-Request-Id', ''
        )
        while data := self._read_piece(response, attempt.answer_bytes):
            attempt.body += data
            events = attempt.body.count(b'\n\n')
            if events >= self._way.leave_after > 0:
                attempt.has_left = True
                return
        upgrade_callers.end_answer(response)
        attempt.is_complete = True
        if attempt.all_sent_at is None:
            # What is left of the request isn't sent any more.
            connection.close()

    def _read_piece(self, response, answer_bytes):
        """Return the next bytes of an answer, none at its end."""
        if not self._way.reads_slowly:
            return response.read1()
        if answer_bytes:
            time.sleep(self._rng.uniform(*LARGE_PAUSE_SECONDS))
            return response.read(answer_bytes // LARGE_PIECES)
        time.sleep(self._rng.uniform(*READ_PAUSE_SECONDS))
        return response.read1(self._rng.randint(*READ_BYTES))


def _peek_status(sock):
    """Return the status of the answer that has come, or 0 at an end."""
    line = sock.recv(32, socket.MSG_PEEK)
    words = line.split(b' ', 2)
    if len(words) < 2 or not words[1].isdigit():
        return 0
    return int(words[1])
