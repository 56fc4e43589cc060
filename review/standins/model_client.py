"""A client of model engines, and the check of what their caches were used for."""

import dataclasses
import http.client

MODEL = 'daka510000'
DEADLINE_MS = 15000


@dataclasses.dataclass(frozen=True)
class Part:
    """A part of a prompt."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Request:
    """A request with a prompt."""

    id: str
    tenant: str
    key: str
    parts: tuple[Part, ...]
    output_tokens: int


def exchange(record, front, request):
    """Send a request to a front and read its answer.

    Args:
        record: writes what happens.
        front: the front's machine.
        request: the ``Request``.
    """
    host, _, port = front.address('front').partition(':')
    connection = http.client.HTTPConnection(
        host, int(port), timeout=DEADLINE_MS / 1000
    )
    tokens = sum(part.tokens for part in request.parts)
    headers = {
        'Host': 'galley.example',
        'X-Carobwood-Request-Id': request.id,
        'X-Carobwood-Deadline-Ms': str(DEADLINE_MS),
        'X-Carobwood-Model': MODEL,
        'X-Carobwood-Token-Counts': f'{tokens},{request.output_tokens}',
        'X-Carobwood-Prompt-Prefix': ','.join(
            f'{part.id}:{part.tokens}' for part in request.parts
        ),
        'Authorization': f'Bearer {request.key}',
    }
    record(f'{request.tenant} sends {request.id} to {front.name}')
    try:
        connection.request('POST', '/costing/1', b'prompt', headers)
        response = connection.getresponse()
        size = len(response.read())
        record(f'{request.id}: {response.status}, {size} bytes')
    except (OSError, http.client.HTTPException) as error:
        record(f'{request.id}: {error!r}')
    finally:
        connection.close()


def check_walls(fleet, record, isolated_tenants):
    """Look for parts that one tenant read and another one used.

    Args:
        fleet: the ``Fleet``, whose engines have recorded this.
        record: writes what is found.
        isolated_tenants: names of the isolated tenants.

    Returns:
        The exit code: 1 if one of the two is isolated, 0 otherwise.
    """
    is_broken = False
    for line in fleet.engine_record.read_text().splitlines():
        words = line.split()
        record('engine: ' + ' '.join(words[1:]))
        if words[2] != 'found':
            continue
        tenant, maker = words[5:7]
        if tenant != maker and isolated_tenants & {tenant, maker}:
            record(f'{tenant} uses cache of {maker}: RULE BROKEN')
            is_broken = True
    if not is_broken:
        record('the rule held')
    return 1 if is_broken else 0
