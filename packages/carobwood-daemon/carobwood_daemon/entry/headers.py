"""Allow-lists of the headers forwarded between callers and endpoints."""

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
_RESPONSE_HEADERS = (
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


def filter_request_headers(received):
    """Return the request headers to forward to an endpoint.

    Credentials, hop-by-hop headers (RFC 9110, section 7.6.1) and
    carobwood's own headers are not on the allow-list.
    """
    return {
        name: received[name] for name in _REQUEST_HEADERS if name in received
    }


def filter_response_headers(received):
    """Return the response headers to forward to a caller."""
    return {
        name: received[name] for name in _RESPONSE_HEADERS if name in received
    }
