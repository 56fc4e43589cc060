"""Headers that pass between callers and endpoints, by allow-list."""

OUTCOME = 'Carobwood-Outcome'
REQUEST_ID = 'X-Request-Id'
CUSTOMER = 'Carobwood-Customer'
PRIORITY = 'Carobwood-Priority'
WEIGHTS_VERSION = 'X-Weights-Version'
LAST_EVENT_ID = 'Last-Event-ID'
IDEMPOTENCY_KEY = 'Idempotency-Key'

_REQUEST_HEADERS = (
    'Accept',
    'Accept-Language',
    'Content-Encoding',
    'Content-Type',
    'If-Match',
    'If-None-Match',
    'User-Agent',
    IDEMPOTENCY_KEY,
)
_ANSWER_HEADERS = (
    'Cache-Control',
    'Content-Disposition',
    'Content-Encoding',
    'Content-Language',
    'Content-Type',
    'ETag',
    'Last-Modified',
    'Location',
    'Retry-After',
    'X-Weights-Version',
)


def request_headers(received):
    """Return the headers of a caller that an endpoint may see.

    Credentials, hop-by-hop headers and carobwood's own headers are not
    on the list, so an endpoint never sees them.
    """
    return {
        name: received[name] for name in _REQUEST_HEADERS if name in received
    }


def answer_headers(received):
    """Return the headers of an endpoint that a caller may see."""
    return {
        name: received[name] for name in _ANSWER_HEADERS if name in received
    }
