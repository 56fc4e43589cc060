"""Headers of a request that one VM forwards to another.

They are carobwood's own. A message authentication code over them shows that
a VM of the fleet has sent them; they are never sent to endpoints or callers.

Earlier builds do not know ``TIME_USED``: it is not covered by the code, and
named in ``Connection``, so that they drop it.
"""

import dataclasses
import hmac
import re

from carobwood import errors

VM = 'carobwood-forwarding-vm'
TIME_LEFT = 'carobwood-time-left-ms'
TIME_USED = 'carobwood-time-used-ms'
WITHIN_RATE = 'carobwood-within-rate'
PROOF = 'carobwood-forwarding-proof'
# Headers of the response, if it is an error of the VM itself.
ERROR = 'carobwood-error'
OUTCOME = 'carobwood-outcome'

ALL = frozenset((VM, TIME_LEFT, TIME_USED, WITHIN_RATE, PROOF, ERROR, OUTCOME))
# Size that the request's headers add at most.
MAX_BYTES = 1024

_MILLISECONDS = re.compile('[0-9]{1,9}', re.ASCII)


@dataclasses.dataclass(frozen=True)
class ForwardedRequest:
    """What the VM that took a request from its caller says of it.

    Attributes:
        vm_id: id of that VM, which has admitted the request.
        time_left: seconds until the response is due.
        is_within_rate: whether the customer's rate limit covers the request.
        time_used: seconds since it was read to its end, or None if an earlier
            build has forwarded it.
    """

    vm_id: str
    time_left: float
    is_within_rate: bool
    time_used: float | None = None


def format_request(forwarded, method, target, secret):
    """Return the (name, value) pairs of a request that is forwarded.

    Args:
        forwarded: the ``ForwardedRequest``.
        method: HTTP method of the request.
        target: its path and query.
        secret: the fleet's shared secret, as bytes.
    """
    pairs = (
        (VM, forwarded.vm_id),
        (TIME_LEFT, str(int(max(0.0, forwarded.time_left) * 1000))),
        (WITHIN_RATE, str(int(forwarded.is_within_rate))),
    )
    proof = (PROOF, _proof(dict(pairs), method, target, secret))
    return (*pairs, proof, *_format_time_used(forwarded.time_used))


def _format_time_used(seconds):
    if seconds is None:
        return ()
    milliseconds = str(int(max(0.0, seconds) * 1000))
    return ((TIME_USED, milliseconds), ('Connection', TIME_USED))


def parse_request(headers_by_name, method, target, secret):
    """Return the ``ForwardedRequest`` of a request's headers.

    Args:
        headers_by_name: values by header name in lower case.
        method: HTTP method of the request.
        target: its path and query.
        secret: the fleet's shared secret, as bytes.

    Raises:
        LinkRefused: no VM of the fleet has sent the headers.
    """
    values = {
        name: headers_by_name.get(name, '')
        for name in (VM, TIME_LEFT, WITHIN_RATE)
    }
    expected = _proof(values, method, target, secret)
    proof = headers_by_name.get(PROOF, '')
    if not hmac.compare_digest(proof.encode('latin-1'), expected.encode()):
        raise errors.LinkRefused('the request comes from no VM of the fleet')
    return ForwardedRequest(
        values[VM],
        int(values[TIME_LEFT]) / 1000,
        values[WITHIN_RATE] == '1',
        _parse_time_used(headers_by_name.get(TIME_USED, '')),
    )


def _parse_time_used(value):
    if not _MILLISECONDS.fullmatch(value):
        return None
    return int(value) / 1000


def _proof(values, method, target, secret):
    lines = [method, target, *(values[name] for name in sorted(values))]
    text = '\n'.join(lines).encode('latin-1')
    return hmac.new(secret, text, 'sha256').hexdigest()
