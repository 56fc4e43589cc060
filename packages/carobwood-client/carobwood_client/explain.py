"""The verb ``explain``: where a VM would send a request now, and why."""

from carobwood import errors
from carobwood import explanation_token
from carobwood import keys

from . import connection as connections
from . import exit_codes
from . import verbs

_PATH = '/v1/explain'
_ENDPOINT_COLUMNS = (
    'endpoint_id',
    'obstacle',
    'cost_seconds',
    'cached_tokens',
    'running',
    'slots',
    'kv_cache_used_tokens',
    'prefill_tokens',
    'needs_permit',
    'seconds_until_open',
    'news_age',
    'data_centre',
    'weights_version',
    'software_version',
)


def connect(arguments):
    """Return the ``Connection`` to the VM that is asked.

    Raises:
        ClientUsage: the file of the secret cannot be read.
    """
    secret = verbs.read_text(arguments.secret_file).strip().encode()
    token = explanation_token.derive(secret)
    return connections.Connection([arguments.vm], token, arguments.ca_file)


def explain(connection, arguments, printer):
    """Print what the VM would do with a request."""
    info = connection.post(_PATH, **_query(arguments))
    if arguments.json:
        printer.print_result(info, '')
        return exit_codes.EXIT_OK
    printer.print_result(info, _summary(info))
    for service in info['services']:
        printer.print_result(service, _service_summary(service))
        printer.print_rows(service['endpoints'], _ENDPOINT_COLUMNS)
    return exit_codes.EXIT_OK


def _query(arguments):
    return {
        'host': arguments.host,
        'path': arguments.path,
        'key_digest': _read_key_digest(arguments.key_file),
        'customer': arguments.customer,
        'model': arguments.model,
        'prompt_segments': [_parse_part(text) for text in arguments.part],
        'prompt_tokens': arguments.prompt_tokens,
        'output_tokens': arguments.output_tokens,
    }


def _read_key_digest(path):
    if not path:
        return ''
    key = verbs.read_text(path).strip()
    if not key or not key.isascii():
        raise errors.ClientUsage(f'{path}: holds no key')
    return keys.digest_key(key)


def _parse_part(text):
    segment_id, _, tokens = text.rpartition(':')
    if not segment_id or not tokens.isdecimal():
        raise errors.ClientUsage(f'--part {text}: is not ID:TOKENS')
    return {'id': segment_id, 'tokens': int(tokens)}


def _summary(info):
    lines = [
        f'{info["vm_id"]} ({info["data_centre"]}), '
        f'configuration {info["configuration"]}',
        f'route {info["route"]}, customer {info["customer"] or "-"}, '
        f'priority {info["priority"]}',
    ]
    quota = info['quota']
    if quota is not None:
        lines.append(
            f'quota: {quota["verdict"]}, needs {quota["units"]} units, '
            f'bucket {quota["level"]:g}, recent {quota["recent"]:g} of '
            f'{quota["bound"]:g}, retry after {quota["retry_after"]:g} s'
        )
    return '\n'.join(lines)


def _service_summary(service):
    decision = service['decision']
    for detail in (service['endpoint_id'], service['reason']):
        if detail:
            decision += f' ({detail})'
    lines = [
        '',
        f'service {service["service"]}, share {service["share"]:g}: '
        f'{decision}',
        f'{service["waiting_ahead"]} wait before it; loads known up to '
        f'{service["loads_age"]:g} s ago',
    ]
    overload = service['overload']
    if overload is not None:
        on_time = 'can' if overload['can_be_on_time'] else 'can not'
        lines.append(
            f'admission: level {overload["level"]:g}, '
            f'limit {overload["limit_fraction"]:g}, '
            f'wait {overload["forecast_seconds"]:g} s, '
            f'{on_time} be on time'
        )
    rollout = service['rollout']
    if rollout is not None:
        lines.append(
            f'rollout of {rollout["target_version"]}: {rollout["phase"]} '
            f'{rollout["reason"]}'.rstrip()
        )
    return '\n'.join(lines)
