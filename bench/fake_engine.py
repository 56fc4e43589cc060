"""A stand-in for a model engine.

Speaks the protocol of docs/design/engine-protocol.md: continuous
batching with one prefill at a time, a prefix cache of limited memory,
numbered events that can be resumed, and tokens that depend only on the
prompt, so that engines with the same weights agree.
"""

import collections
import hashlib
import json
import os
import threading
import time
import urllib.parse
import zlib

import http_stand_in

PIECE_TOKENS = 2048
BYTES_PER_TOKEN = 4
_PLAIN_EVENT = (
    b'id: %d\ndata: {"object": "chat.completion.chunk", "choices": '
    b'[{"index": 0, "delta": {"content": "%s"}}]}\n\n'
)
POISON = 'poison-this-engine'
HOLD = 'hold'
HOLD_POLL_SECONDS = 0.01
EVENT_POLL_SECONDS = 0.02


class PrefixCache:
    """Cached pieces by chained hash, least recently used first."""

    def __init__(self, capacity, lifetime, on_removal):
        self._capacity = capacity
        self._lifetime = lifetime
        self._on_removal = on_removal
        self._lock = threading.Lock()
        self._used_at_by_piece = collections.OrderedDict()
        self._origin_by_piece = {}

    def peek(self, chain):
        """Return how many leading pieces are cached, changing nothing."""
        now = time.monotonic()
        with self._lock:
            hits = 0
            for piece in chain:
                used_at = self._used_at_by_piece.get(piece)
                if used_at is None or now - used_at > self._lifetime:
                    break
                hits += 1
            return hits

    def lookup(self, chain, request_id):
        """Return how many leading pieces are cached, and cache all."""
        hits = self.peek(chain)
        now = time.monotonic()
        with self._lock:
            for number, piece in enumerate(chain):
                origin = (request_id, number * PIECE_TOKENS)
                self._origin_by_piece.setdefault(piece, origin)
                self._used_at_by_piece[piece] = now
                self._used_at_by_piece.move_to_end(piece)
            while len(self._used_at_by_piece) > self._capacity:
                piece, _ = self._used_at_by_piece.popitem(last=False)
                self._on_removal(*self._origin_by_piece.pop(piece))
            return hits


class CacheEvents:
    """Removals from the cache, told late and with gaps."""

    def __init__(self, lag, loss_every):
        self._lag = lag
        self._loss_every = loss_every
        self._changed = threading.Condition()
        self._events = collections.deque(maxlen=10000)
        self._sequence = 0

    def note_removal(self, request_id, from_token):
        """Number a removal, and keep it unless it is to be lost."""
        with self._changed:
            self._sequence += 1
            is_lost = self._loss_every and (
                self._sequence % self._loss_every == 0
            )
            if not is_lost:
                event = (self._sequence, request_id, from_token)
                self._events.append((*event, time.monotonic()))
                self._changed.notify_all()

    def read(self, after, wait):
        """Return events after a number, waiting for some."""
        deadline = time.monotonic() + wait
        while True:
            now = time.monotonic()
            with self._changed:
                found = [
                    {
                        'sequence': sequence,
                        'request_id': request_id,
                        'from_token': from_token,
                        'age_ms': int((now - at) * 1000),
                    }
                    for sequence, request_id, from_token, at in self._events
                    if sequence > after and at <= now - self._lag
                ]
            if found or now >= deadline:
                return found
            time.sleep(EVENT_POLL_SECONDS)


class Engine:
    """State of the engine and its account of what it did."""

    def __init__(self, arguments):
        self.arguments = arguments
        self.events = CacheEvents(
            arguments.event_lag_seconds, arguments.event_loss_every
        )
        self.cache = self._empty_cache()
        self.prefill_lock = threading.Lock()
        self.lock = threading.Lock()
        self.running = 0
        self.waiting = 0
        self.queued_tokens = 0
        self.counters = collections.Counter()
        self.headers_seen = []
        self.fault = ''
        self.order = {'fencing_number': 0}
        self.loads = 0

    def follow(self, order):
        """Follow an order; tell whether it is not older than the last."""
        with self.lock:
            newest = self.order['fencing_number']
            is_old = order['fencing_number'] < newest
            if is_old and self.arguments.checks_fencing == 'yes':
                return False
            if order == self.order:
                return True
            self.loads += 1
            most = max(self.counters['most_loads'], self.loads)
            self.counters['most_loads'] = most
        time.sleep(self.arguments.load_seconds)
        with self.lock:
            self.loads -= 1
            self.order = order
            if order['kind'] == 'load-weights':
                self.arguments.weights_version = order['argument']
                self.cache = self._empty_cache()
            self.counters['running_at_order'] += self.running
        return True

    def _empty_cache(self):
        return PrefixCache(
            self.arguments.cache_pieces,
            self.arguments.cache_seconds,
            self.events.note_removal,
        )

    def describe(self):
        """Return the engine's part of an announcement."""
        return {
            'weights_version': self.arguments.weights_version,
            'running': self.running,
            'waiting': self.waiting,
        }

    def count(self, name, amount=1):
        """Count something."""
        with self.lock:
            self.counters[name] += amount

    def peek(self, text, customer):
        """Return what is cached of a prompt, and what is queued."""
        chain = self._chain(text, customer)
        return {
            'cached_tokens': self.cache.peek(chain) * PIECE_TOKENS,
            'queued_tokens': self.queued_tokens,
        }

    def _chain(self, text, customer):
        return _chain(f'{customer}|{self.arguments.weights_version}', text)

    def prefill(self, text, customer, request_id):
        """Compute a prompt's missing pieces.

        Returns:
            Tokens of the prompt, and how many of them were cached.
        """
        chain = self._chain(text, customer)
        tokens = max(1, len(text) // BYTES_PER_TOKEN)
        expected = tokens - self.cache.peek(chain) * PIECE_TOKENS
        with self.lock:
            self.waiting += 1
            self.queued_tokens += expected
        with self.prefill_lock:
            with self.lock:
                self.waiting -= 1
            while self.fault == HOLD:
                time.sleep(HOLD_POLL_SECONDS)
            hits = self.cache.lookup(chain, request_id)
            cached = min(tokens, hits * PIECE_TOKENS)
            missing = tokens - cached
            time.sleep(missing * self.arguments.prefill_seconds_per_token)
        with self.lock:
            self.queued_tokens -= expected
        self.count('prefilled_tokens', missing)
        self.count('cached_tokens', cached)
        return tokens, cached


class Handler(http_stand_in.Handler):
    """Serves the OpenAI interface and the bench's controls."""

    engine = None

    def do_GET(self):  # noqa: N802 (named by http.server)
        """Answer health and counters."""
        engine = self.engine
        if self.path == '/counters':
            with engine.lock:
                counters = dict(engine.counters)
                seen = list(engine.headers_seen)
            self.send_json(200, {'counters': counters, 'headers': seen})
            return
        if self.path == '/v1/orders':
            self.send_json(200, engine.order)
            return
        path, _, query = self.path.partition('?')
        if path == '/v1/cache-events':
            asked = dict(urllib.parse.parse_qsl(query))
            found = engine.events.read(
                int(asked['after']), float(asked['wait'])
            )
            self.send_json(200, {'events': found})
            return
        engine.count('probes')
        self.send_json(200, {'state': 'ok'})

    def do_POST(self):  # noqa: N802 (named by http.server)
        """Run a request, or set a fault."""
        body = self.read_body()
        if self.path == '/fault':
            self.engine.fault = json.loads(body)['fault']
            self.send_json(200, {})
            return
        if self.path == '/peek':
            asked = json.loads(body)
            self.send_json(
                200, self.engine.peek(asked['prompt'], asked['customer'])
            )
            return
        if self.path == '/v1/orders':
            is_followed = self.engine.follow(json.loads(body))
            self.send_json(200 if is_followed else 409, {})
            return
        self._run(json.loads(body))

    def _run(self, request):
        engine = self.engine
        text = _prompt_text(request)
        with engine.lock:
            engine.running += 1
            engine.counters['requests'] += 1
            engine.headers_seen.append(dict(self.headers.items()))
            del engine.headers_seen[:-50]
        try:
            if POISON in text:
                os._exit(13)
            self._generate(request, text)
        except OSError:
            engine.count('cancelled')
            self.close_connection = True
        finally:
            with engine.lock:
                engine.running -= 1

    def _generate(self, request, text):
        engine = self.engine
        customer = self.headers.get('Carobwood-Customer', '')
        if engine.fault.startswith('crossed'):
            # As if the answer to another request came here.
            engine.fault = ''
            self.headers.replace_header('X-Request-Id', 'another')
            text = 'what another caller asked'
        request_id = self.headers.get('X-Request-Id', '')
        tokens, cached = engine.prefill(text, customer, request_id)
        usage = {
            'prompt_tokens': tokens,
            'completion_tokens': request.get('max_tokens', 16),
            'prompt_tokens_details': {'cached_tokens': cached},
        }
        extra = {'X-Weights-Version': engine.arguments.weights_version}
        if request.get('stream'):
            self.start_stream(extra)
            self._stream(text, usage)
            return
        words = [
            _token(text, number)
            for number in range(usage['completion_tokens'])
        ]
        time.sleep(engine.arguments.token_seconds * len(words))
        message = {'role': 'assistant', 'content': ' '.join(words)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        answer = {'object': 'chat.completion', 'choices': [choice]}
        self.send_json(200, {**answer, 'usage': usage}, extra)

    def _stream(self, text, usage):
        engine = self.engine
        first = int(self.headers.get('Last-Event-ID', '-1')) + 1
        count = usage['completion_tokens']
        pause = engine.arguments.token_seconds
        for number in range(first, count):
            if pause:
                time.sleep(pause)
            if engine.fault:
                self._check_fault(number)
            self.send_chunk(_event(number, _token(text, number), None))
        if first <= count:
            self.send_chunk(_event(count, '', usage))
        self.send_chunk(b'id: %d\ndata: [DONE]\n\n' % (count + 1))
        self.send_chunk(b'')
        engine.count('streams')

    def _check_fault(self, number):
        fault, _, at = self.engine.fault.partition(':')
        if not fault or number != int(at):
            return
        self.engine.fault = ''
        if fault == 'reset':
            raise ConnectionResetError('as the bench asked')
        if fault == 'stall':
            time.sleep(3600)
        if fault == 'skip':
            self.send_chunk(_event(number + 1, 'skipped', None))
        if fault == 'crash':
            os._exit(14)


def _prompt_text(request):
    if 'messages' in request:
        return '\n'.join(
            f'{message["role"]}: {message["content"]}'
            for message in request['messages']
        )
    prompt = request['prompt']
    return prompt if isinstance(prompt, str) else json.dumps(prompt)


def _chain(seed, text):
    data = text.encode('utf-8')
    piece_bytes = PIECE_TOKENS * BYTES_PER_TOKEN
    previous = seed.encode('utf-8')
    chain = []
    for start in range(0, len(data) - piece_bytes + 1, piece_bytes):
        piece = data[start : start + piece_bytes]
        previous = hashlib.blake2b(previous + piece, digest_size=12).digest()
        chain.append(previous)
    return chain


def _token(text, number):
    key = f'{len(text)}:{text[-64:]}:{number}'.encode('utf-8')
    return f'{zlib.crc32(key):08x}'


def _event(number, word, usage):
    if usage is None:
        return _PLAIN_EVENT % (number, word.encode('ascii'))
    choice = {'index': 0, 'delta': {'content': word}}
    body = {'object': 'chat.completion.chunk', 'choices': [choice]}
    body['usage'] = usage
    return b'id: %d\ndata: %s\n\n' % (number, json.dumps(body).encode())


def main():
    """Run the engine until SIGTERM."""
    parser = http_stand_in.make_parser(__doc__.splitlines()[0])
    parser.add_argument('--weights-version', default='1')
    parser.add_argument('--checks-fencing', default='yes')
    parser.add_argument('--load-seconds', type=float, default=0.6)
    parser.add_argument('--cache-pieces', type=int, default=64)
    parser.add_argument('--cache-seconds', type=float, default=30.0)
    parser.add_argument('--event-lag-seconds', type=float, default=0.3)
    parser.add_argument('--event-loss-every', type=int, default=0)
    parser.add_argument('--token-seconds', type=float, default=0.002)
    parser.add_argument(
        '--prefill-seconds-per-token', type=float, default=0.00002
    )
    arguments = parser.parse_args()
    Handler.engine = Engine(arguments)
    http_stand_in.serve(arguments, Handler, Handler.engine.describe)


if __name__ == '__main__':
    main()
