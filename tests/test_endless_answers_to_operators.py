"""Tests of the operators' client with VMs whose answers have no end."""

import contextlib
import itertools
import json
import subprocess
import sys

import endless_endpoint

WAIT_SECONDS = 60.0
# Calls each of the given VMs and prints the error texts by address. It is a
# process, since the error types of the client are not those of the daemon.
CLIENT = """
import json
import sys
import threading
from carobwood_client import connection as connections
connections.MAX_RESPONSE_BYTES = 1024 * 1024
details = {}

def call(address):
    try:
        connections.Connection([address], 'token').post('/', read_timeout=0.5)
    except connections.Unreachable as error:
        details[address] = error.detail

threads = [threading.Thread(target=call, args=[a]) for a in sys.argv[1:]]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
print(json.dumps(details))
"""


def test_calls_of_an_operator_end_although_the_answers_do_not():
    with contextlib.ExitStack() as stack:
        keys_by_address = {
            stack.enter_context(
                endless_endpoint.EndlessEndpoint(
                    endless_endpoint.ANSWERS_BY_KIND[kind], is_slow
                )
            ).address: (kind, is_slow)
            for kind, is_slow in itertools.product(
                endless_endpoint.ANSWERS_BY_KIND, (False, True)
            )
        }
        client = subprocess.run(
            [sys.executable, '-c', CLIENT, *keys_by_address],
            stdout=subprocess.PIPE,
            timeout=WAIT_SECONDS,
            check=True,
        )
    details_by_address = json.loads(client.stdout)
    assert {keys_by_address[a] for a in details_by_address} == set(
        keys_by_address.values()
    )
