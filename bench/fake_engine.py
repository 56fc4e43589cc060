"""A stand-in for a model engine.

It follows docs/design/engine-protocol.md: continuous batching with one
prefill at a time, a prefix cache of limited size, and numbered events,
so that a stream can be resumed. The generated tokens depend only on the
prompt, so that any engine can resume the stream of another.

A prompt that contains ``POISON_TEXT`` makes the process exit.
A POST to ``/fault`` sets a fault, and an empty one clears it:

- ``hold``: prefills wait until the fault is cleared.
- ``crossed...``: answer the next request with another prompt's tokens
  and another request ID.
- ``reset:N``: drop the connection before event N of a stream.
- ``stall:N``: send nothing for an hour before event N.
- ``skip:N``: send an event with number N + 1 before event N.
- ``crash:N``: exit before event N.
"""

import collections
import hashlib
import json
import os
import threading
import time
import urllib.parse
import zlib

import stand_in_server

BLOCK_TOKENS = 2048
BYTES_PER_TOKEN = 4
_TOKEN_EVENT = (
    b'id: %d\ndata: {"object": "chat.completion.chunk", "choices": '
    b'[{"index": 0, "delta": {"content": "%s"}}]}\n\n'
)
POISON_TEXT = 'poison-this-engine'
HOLD_FAULT = 'hold'
HOLD_POLL_SECONDS = 0.01
EVENT_POLL_SECONDS = 0.02


class PrefixCache:
    """An LRU cache of prompt blocks, identified by chained hashes.

    Args:
        capacity_blocks: largest number of cached blocks.
        lifetime_seconds: seconds without use after which a block no longer
            counts as cached.
        report_removal: function that is called with request ID and first
            token of each evicted block. The ID is that of the request
            that brought the block into the cache.
    """

    def __init__(self, capacity_blocks, lifetime_seconds, report_removal):
        self._capacity_blocks = capacity_blocks
        self._lifetime_seconds = lifetime_seconds
        self._report_removal = report_removal
        self._lock = threading.Lock()
        self._used_at_by_block = collections.OrderedDict()
        self._origin_by_block = {}

    def peek(self, block_hashes):
        """Return how many leading blocks are cached, without using them."""
        now = time.monotonic()
        with self._lock:
            hits = 0
            for block in block_hashes:
                used_at = self._used_at_by_block.get(block)
                if used_at is None or now - used_at > self._lifetime_seconds:
                    break
                hits += 1
            return hits

    def lookup(self, block_hashes, request_id):
        """Return how many leading blocks were cached, and cache all."""
        hits = self.peek(block_hashes)
        now = time.monotonic()
        with self._lock:
            for number, block in enumerate(block_hashes):
                origin = (request_id, number * BLOCK_TOKENS)
                self._origin_by_block.setdefault(block, origin)
                self._used_at_by_block[block] = now
                self._used_at_by_block.move_to_end(block)
            while len(self._used_at_by_block) > self._capacity_blocks:
                block, _ = self._used_at_by_block.popitem(last=False)
                self._report_removal(*self._origin_by_block.pop(block))
            return hits


class CacheEvents:
    """Cache evictions, reported late and incompletely.

    Args:
        lag_seconds: seconds until an eviction is reported.
        loss_interval: number N if every Nth eviction is never reported,
            or 0 to report all.
    """

    def __init__(self, lag_seconds, loss_interval):
        self._lag_seconds = lag_seconds
        self._loss_interval = loss_interval
        self._changed = threading.Condition()
        self._events = collections.deque(maxlen=10000)
        self._sequence = 0

    def record_removal(self, request_id, from_token):
        """Assign the next sequence number and store the event unless lost."""
        with self._changed:
            self._sequence += 1
            is_lost = self._loss_interval and (
                self._sequence % self._loss_interval == 0
            )
            if not is_lost:
                event = (self._sequence, request_id, from_token)
                self._events.append((*event, time.monotonic()))
                self._changed.notify_all()

    def read(self, after_sequence, wait_seconds):
        """Return events after a sequence number (long polling).

        Args:
            after_sequence: last sequence number that the reader has seen.
            wait_seconds: longest time in seconds to wait for an event.
        """
        deadline = time.monotonic() + wait_seconds
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
                    if sequence > after_sequence
                    and at <= now - self._lag_seconds
                ]
            if found or now >= deadline:
                return found
            time.sleep(EVENT_POLL_SECONDS)


class Engine:
    """State of the engine, shared by all requests.

    Attributes:
        arguments: parsed command-line flags.
        events: ``CacheEvents`` of the prefix cache.
        cache: the ``PrefixCache``.
        prefill_lock: held during a prefill, so that one runs at a time.
        lock: guards the fields below.
        running: number of requests in progress, waiting ones included.
        waiting: number of requests that wait for their prefill.
        queued_tokens: tokens that unfinished prefills must compute.
        counters: counters that tests and benchmarks read.
        headers_seen: headers of the last 50 requests.
        fault: fault to apply, or an empty string.
        order: last order that was executed.
        active_loads: number of orders that are being executed.
    """

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
        self.active_loads = 0

    def execute_order(self, order):
        """Execute an operator's order.

        Returns:
            False if the order was refused because its fencing number is
            lower than that of the last order, else True.
        """
        with self.lock:
            last_number = self.order['fencing_number']
            is_old = order['fencing_number'] < last_number
            if is_old and self.arguments.checks_fencing == 'yes':
                return False
            if order == self.order:
                return True
            self.active_loads += 1
            max_loads = max(self.counters['most_loads'], self.active_loads)
            self.counters['most_loads'] = max_loads
        time.sleep(self.arguments.load_seconds)
        with self.lock:
            self.active_loads -= 1
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
            self.events.record_removal,
        )

    def announcement_fields(self):
        """Return the fields that an engine adds to its announcements."""
        return {
            'weights_version': self.arguments.weights_version,
            'running': self.running,
            'waiting': self.waiting,
        }

    def increment_counter(self, name, amount=1):
        """Add to a counter."""
        with self.lock:
            self.counters[name] += amount

    def peek(self, text, customer):
        """Return the cached tokens of a prompt and all queued tokens."""
        block_hashes = self._hash_prompt(text, customer)
        return {
            'cached_tokens': self.cache.peek(block_hashes) * BLOCK_TOKENS,
            'queued_tokens': self.queued_tokens,
        }

    def _hash_prompt(self, text, customer):
        return _hash_blocks(
            f'{customer}|{self.arguments.weights_version}', text
        )

    def prefill(self, text, customer, request_id):
        """Wait as long as the prefill of a prompt's uncached tokens takes.

        Returns:
            Number of tokens of the prompt, and how many were cached.
        """
        block_hashes = self._hash_prompt(text, customer)
        tokens = max(1, len(text) // BYTES_PER_TOKEN)
        expected = tokens - self.cache.peek(block_hashes) * BLOCK_TOKENS
        with self.lock:
            self.waiting += 1
            self.queued_tokens += expected
        with self.prefill_lock:
            with self.lock:
                self.waiting -= 1
            while self.fault == HOLD_FAULT:
                time.sleep(HOLD_POLL_SECONDS)
            hits = self.cache.lookup(block_hashes, request_id)
            cached = min(tokens, hits * BLOCK_TOKENS)
            missing = tokens - cached
            time.sleep(missing * self.arguments.prefill_seconds_per_token)
        with self.lock:
            self.queued_tokens -= expected
        self.increment_counter('prefilled_tokens', missing)
        self.increment_counter('cached_tokens', cached)
        return tokens, cached


class Handler(stand_in_server.Handler):
    """Serves the OpenAI API and the control paths of tests and benches.

    Attributes:
        engine: the ``Engine``, shared by all requests.
    """

    engine = None

    def do_GET(self):  # noqa: N802 (named by http.server)
        """Return counters, the last order, cache events or the health."""
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
            query_fields = dict(urllib.parse.parse_qsl(query))
            found = engine.events.read(
                int(query_fields['after']), float(query_fields['wait'])
            )
            self.send_json(200, {'events': found})
            return
        engine.increment_counter('probes')
        self.send_json(200, {'state': 'ok'})

    def do_POST(self):  # noqa: N802 (named by http.server)
        """Execute a request, an order or a control call."""
        body = self.read_body()
        if self.path == '/fault':
            self.engine.fault = json.loads(body)['fault']
            self.send_json(200, {})
            return
        if self.path == '/peek':
            query_fields = json.loads(body)
            self.send_json(
                200,
                self.engine.peek(
                    query_fields['prompt'], query_fields['customer']
                ),
            )
            return
        if self.path == '/v1/orders':
            is_accepted = self.engine.execute_order(json.loads(body))
            self.send_json(200 if is_accepted else 409, {})
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
            if POISON_TEXT in text:
                os._exit(13)
            self._send_response(request, text)
        except OSError:
            engine.increment_counter('cancelled')
            self.close_connection = True
        finally:
            with engine.lock:
                engine.running -= 1

    def _send_response(self, request, text):
        engine = self.engine
        customer = self.headers.get('Carobwood-Customer', '')
        if engine.fault.startswith('crossed'):
            # Simulates an engine that mixes up the responses to requests.
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
        first_event = int(self.headers.get('Last-Event-ID', '-1')) + 1
        token_count = usage['completion_tokens']
        token_delay_seconds = engine.arguments.token_seconds
        for number in range(first_event, token_count):
            if token_delay_seconds:
                time.sleep(token_delay_seconds)
            if engine.fault:
                self._apply_fault(number)
            self.send_chunk(_event(number, _token(text, number), None))
        if first_event <= token_count:
            self.send_chunk(_event(token_count, '', usage))
        self.send_chunk(b'id: %d\ndata: [DONE]\n\n' % (token_count + 1))
        self.send_chunk(b'')
        engine.increment_counter('streams')

    def _apply_fault(self, number):
        fault, _, at = self.engine.fault.partition(':')
        if not fault or number != int(at):
            return
        self.engine.fault = ''
        if fault == 'reset':
            raise ConnectionResetError('injected fault')
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


def _hash_blocks(seed, text):
    data = text.encode('utf-8')
    block_bytes = BLOCK_TOKENS * BYTES_PER_TOKEN
    previous = seed.encode('utf-8')
    block_hashes = []
    for start in range(0, len(data) - block_bytes + 1, block_bytes):
        block = data[start : start + block_bytes]
        previous = hashlib.blake2b(previous + block, digest_size=12).digest()
        block_hashes.append(previous)
    return block_hashes


def _token(text, number):
    key = f'{len(text)}:{text[-64:]}:{number}'.encode('utf-8')
    return f'{zlib.crc32(key):08x}'


def _event(number, word, usage):
    if usage is None:
        return _TOKEN_EVENT % (number, word.encode('ascii'))
    choice = {'index': 0, 'delta': {'content': word}}
    body = {'object': 'chat.completion.chunk', 'choices': [choice]}
    body['usage'] = usage
    return b'id: %d\ndata: %s\n\n' % (number, json.dumps(body).encode())


def main():
    """Run the engine until SIGTERM."""
    parser = stand_in_server.make_parser(__doc__.splitlines()[0])
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
    stand_in_server.serve(
        arguments, Handler, Handler.engine.announcement_fields
    )


if __name__ == '__main__':
    main()
