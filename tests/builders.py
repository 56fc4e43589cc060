"""Builds the documents, requests and fleets that the scenarios use."""

import concurrent.futures
import dataclasses
import http.client
import json
import pathlib

import proxied_fleet
import urllib3
import yaml

EXAMPLE = pathlib.Path(__file__).parents[1] / 'examples' / 'production.yaml'
CUSTOMER = 'abyssinia-bole'
OTHER_CUSTOMER = 'tussock-waitaki'
MODEL = 'ruling-8b'
# Longer than one block (8192 bytes) of the fake engines' prefix cache.
LONG_TEXT = 'The rulebook asks for one face and a plain background. ' * 150
STREAM_WORDS = 150


@dataclasses.dataclass(frozen=True)
class Response:
    """The HTTP answer that a caller received.

    Attributes:
        status: HTTP status, or 0 if the connection broke.
        headers: headers of the answer; empty if the connection broke.
        body: the body as bytes.
    """

    status: int
    headers: object
    body: bytes

    @property
    def outcome(self):
        """Value of the ``Carobwood-Outcome`` header, or an empty string."""
        return self.headers.get('Carobwood-Outcome', '')

    @property
    def code(self):
        """Error code in the JSON body, or an empty string."""
        try:
            return json.loads(self.body)['error']['code']
        except (ValueError, KeyError, TypeError):
            return ''

    @property
    def events(self):
        """Server-sent events of the body, in order.

        The text after the last event separator is left out.
        """
        return self.body.decode('utf-8').split('\n\n')[:-1]

    @property
    def words(self):
        """Non-empty contents of a stream's completion chunks, in order."""
        words = []
        for event in self.events:
            data = event.partition('data: ')[2]
            if data.startswith('{"object"'):
                words.append(json.loads(data)['choices'][0]['delta'])
        return [word['content'] for word in words if word['content']]


def document_text(environment='production', **changes):
    """Return the example document as YAML, with high rate limits.

    Args:
        environment: name of the environment.
        **changes: top-level fields to replace.
    """
    fields = yaml.safe_load(EXAMPLE.read_text())
    fields['environment'] = environment
    for customer in fields['customers']:
        customer['rate_tokens_per_second'] = 10_000_000
        customer['burst_tokens'] = 10_000_000
    fields.update(changes)
    return yaml.safe_dump(fields)


def chat_body(prompt='Is this portrait fit?', stream=True, max_tokens=12):
    """Return the body of a chat completion request as a dict."""
    return {
        'model': MODEL,
        'stream': stream,
        'max_tokens': max_tokens,
        'messages': [{'role': 'user', 'content': prompt}],
    }


def bearer(secret):
    """Return the ``Authorization`` header that carries a key."""
    return {'Authorization': f'Bearer {secret}'}


class World(proxied_fleet.ProxiedFleet):
    """The fleet of a scenario and the data that its steps share.

    Attributes:
        key: secret of the API key of ``CUSTOMER`` that requests carry by
            default.
        key_id: public id of that key.
        shared_values: values that a step stores for later steps, by name.
        pool: threads that send requests in parallel.
    """

    def __init__(self, folder):
        super().__init__(folder)
        self.key = ''
        self.key_id = ''
        self.shared_values = {}
        self.pool = concurrent.futures.ThreadPoolExecutor(64)

    def __exit__(self, *exception):
        super().__exit__(*exception)
        self.pool.shutdown(wait=False)

    def start_fleet(self, data_centres, diskless=(), **flags):
        """Start VMs named vm1, vm2 and so on, and found a fleet of them.

        Args:
            data_centres: data centre of each VM, in order.
            diskless: ids of the VMs without a disk; they are not counted
                as voters.
            **flags: flags of every daemon.
        """
        for number, data_centre in enumerate(data_centres, 1):
            vm_id = f'vm{number}'
            self.plan_vm(vm_id, data_centre, vm_id not in diskless, **flags)
        self.start_vms()
        voters = min(5, len(data_centres) - len(diskless))
        self.found_fleet('vm1', voters)

    def configure(self, text=None):
        """Apply a document, wait until all VMs are ready and issue a key.

        Args:
            text: the document; by default that of ``document_text()``.
        """
        path = self.folder / 'document.yaml'
        path.write_text(text or document_text())
        self.run_client('document', 'apply', str(path))
        self.await_ready()
        self.key, self.key_id = self.issue_key()

    def issue_key(self, customer=CUSTOMER):
        """Issue an API key and return its secret and its id."""
        issued = self.run_client('key', 'issue', customer)
        return issued['secret'], issued['key_id']

    def request(self, vm_id, method, path, body=None, headers=None):
        """Send a request to a VM's caller port and return the ``Response``.

        Args:
            vm_id: the VM that gets the request.
            method: HTTP method.
            path: path of the URL.
            body: bytes, or a dict that is sent as JSON.
            headers: headers to send; by default the scenario's key.
        """
        if isinstance(body, dict):
            body = json.dumps(body).encode('utf-8')
        request_headers = (
            dict(bearer(self.key)) if headers is None else dict(headers)
        )
        request_headers.setdefault('Content-Type', 'application/json')
        host, _, port = self.vms_by_id[vm_id].caller_address.partition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=40)
        try:
            connection.request(method, path, body, request_headers)
            answer = connection.getresponse()
            return Response(answer.status, answer.headers, answer.read())
        except (OSError, http.client.HTTPException):
            return Response(0, {}, b'')
        finally:
            connection.close()

    def chat(self, vm_id='vm1', key=None, **fields):
        """Send a chat completion request and return the ``Response``.

        Args:
            vm_id: the VM that gets the request.
            key: secret of the key; by default the scenario's key.
            **fields: arguments of ``chat_body()``.
        """
        return self.request(
            vm_id,
            'POST',
            '/v1/chat/completions',
            chat_body(**fields),
            bearer(key or self.key),
        )

    def place_order(self, vm_id, idempotency_key, body=b'{"prints": 6}'):
        """Send an order to the order service and return the ``Response``."""
        headers = dict(bearer(self.key))
        headers['Idempotency-Key'] = idempotency_key
        return self.request(vm_id, 'POST', '/orders', body, headers)

    def run_counts(self, service_id='booth-orders'):
        """Return how often the service ran a request, by idempotency key."""
        return self.get_stand_in_json(service_id, '/runs')['runs']

    def leader(self):
        """Return the id of a live VM that reports to be leader, or None."""
        for vm_id, vm in self.vms_by_id.items():
            if vm.process is None or vm.process.poll() is not None:
                continue
            status = self.status(vm_id)
            if status and status['role'] == 'leader':
                return vm_id
        return None

    def document_versions(self, environment='production'):
        """Return the document version of each reachable VM, by VM id."""
        versions_by_vm = {}
        for vm_id in self.vms_by_id:
            status = self.status(vm_id)
            for info in (status or {}).get('documents', ()):
                if info['environment'] == environment:
                    versions_by_vm[vm_id] = info['version']
        return versions_by_vm

    def call_operator_api(self, vm_id, path, **fields):
        """Send a request to the operator port of a VM.

        Args:
            vm_id: the VM that gets the request.
            path: path of the operation.
            **fields: fields of the JSON body.

        Returns:
            The HTTP status and the decoded body; ``(0, {})`` if the
            request failed without an answer.
        """
        try:
            answer = self.http.request(
                'POST',
                f'http://{self.vms_by_id[vm_id].operator_address}{path}',
                body=json.dumps(fields),
                headers=self.operator_headers(),
            )
        except urllib3.exceptions.HTTPError:
            return 0, {}
        return answer.status, json.loads(answer.data)
