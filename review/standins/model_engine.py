"""A stand-in for a model engine, as PROTOCOL.md describes it.

It runs as a process: model_engine.py ADDRESS SERVICE ZONE ID HEARTBEAT_SECONDS
SLOTS RECORD CONTROL_ADDRESS...

It has the KV cache of one model, which it keeps under the salt of each request.
For each part of a prompt it records whether the part was read or found, and for
which tenant it had been read. It neither fetches nor saves parts, as if each
transfer had missed.
"""

import http.server
import json
import sys
import threading
import time

import engine

MODEL = 'daka510000'
VERSION = 1
# Prefill speed, and tokens of an event and the time between two events.
TOKENS_PER_SECOND = 40_800
TOKENS_PER_EVENT = 4
EVENT_SECONDS = 0.1
# Longest wait for a slot.
QUEUE_SECONDS = 10.0


class ModelEngine(engine.Engine):
    """State of the engine: its cache and what it runs."""

    def __init__(self, arguments):
        # The sixth argument is the number of slots.
        super().__init__(arguments)
        self.slots = threading.Semaphore(int(arguments[5]))
        self.running = 0
        self._cache_lock = threading.Lock()
        # Tenant for which a part was read, by salt and ids of the parts up
        # to it.
        self._tenants_by_part = {}

    def description(self):
        """See ``Engine``."""
        return {
            'slots': 64,
            'stage': 'unified',
            'models': [{'name': MODEL, 'version': VERSION, 'adapters': []}],
        }

    def read_prompt(self, request_id, tenant, salt, parts):
        """Read the parts of a prompt that are not in the cache.

        Args:
            request_id: id of the request.
            tenant: its tenant.
            salt: cache salt, or an empty string.
            parts: (id, tokens) pairs, in the order of the prompt.
        """
        prefix = ()
        for part_id, tokens in parts:
            prefix += (part_id,)
            key = (salt, prefix)
            with self._cache_lock:
                maker = self._tenants_by_part.get(key)
            if maker is not None:
                self.note(f'found {request_id} {part_id} {tenant} {maker}')
                continue
            time.sleep(tokens / TOKENS_PER_SECOND)
            with self._cache_lock:
                self._tenants_by_part.setdefault(key, tenant)
            self.note(f'read {request_id} {part_id} {tenant} {salt or "-"}')


class Handler(engine.Handler):
    """Answers requests with a stream of events."""

    def handle_any(self):
        """Answer a call of the system, or run a request."""
        if self.path == '/v1/report':
            self._answer_json(
                {
                    'stage': 'unified',
                    'models': self.engine.description()['models'],
                    'busy': False,
                    'seq_no': 0,
                    'queued': 0,
                    'running': self.engine.running,
                    'kv_used': 0,
                    'kv_total': 114649,
                    'handles': 0,
                }
            )
        elif self.path.startswith('/v1/kv-events'):
            time.sleep(int(self.headers.get('Wait-Ms') or 0) / 1000)
            self._answer_json(
                {'boot_epoch': 1, 'next': 1, 'lost': False, 'events': []}
            )
        else:
            super().handle_any()

    do_GET = do_POST = do_PUT = do_DELETE = handle_any

    def run(self, request_id, body):
        """See ``Handler`` of the plain engine."""
        expected = self.headers.get('X-Carobwood-Expect-Version')
        if expected not in (None, str(VERSION)):
            self._answer(421, b'', {'X-Carobwood-Not-Run': '1'})
            return
        if not self.engine.slots.acquire(timeout=QUEUE_SECONDS):
            self._answer(503, b'', {'X-Carobwood-Not-Run': '1'})
            return
        try:
            self.engine.running += 1
            self._stream(request_id)
        finally:
            self.engine.running -= 1
            self.engine.slots.release()

    def _stream(self, request_id):
        get = self.headers.get
        tenant = get('X-Carobwood-Tenant') or '-'
        salt = get('X-Carobwood-Cache-Salt') or ''
        self.engine.note(f'runs {request_id} {tenant} {salt or "-"}')
        parts = []
        for entry in get('X-Carobwood-Prompt-Prefix').split(','):
            part_id, _, tokens = entry.partition(':')
            parts.append((part_id, int(tokens)))
        self.engine.read_prompt(request_id, tenant, salt, parts)
        output = int(get('X-Carobwood-Token-Counts').partition(',')[2])
        self.send_response(200)
        self.send_header('X-Carobwood-Request-Id', request_id)
        self.send_header('X-Carobwood-Instance-Id', self.engine.id)
        self.send_header('X-Carobwood-Response-Stamp', 'stamp')
        self.send_header('X-Carobwood-Weight-Versions', str(VERSION))
        self.send_header('Content-Type', 'text/event-stream')
        self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        for number in range(1, output // TOKENS_PER_EVENT + 1):
            event = f'id: {number}\ndata: {request_id}\n\n'.encode()
            self.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
            time.sleep(EVENT_SECONDS)
        self.wfile.write(b'0\r\n\r\n')

    def _answer_json(self, body):
        self.send_response(200)
        content = json.dumps(body).encode()
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(content)))
        self.end_headers()
        self.wfile.write(content)


def main():
    """Announce the engine and serve its requests."""
    engine.serve(ModelEngine(sys.argv[1:]), Handler)


if __name__ == '__main__':
    main()
