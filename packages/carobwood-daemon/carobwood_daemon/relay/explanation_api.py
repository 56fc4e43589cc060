"""The HTTP call by which operators have a request explained.

Only who knows the fleet's shared secret may call it. The secret is not sent:
the call carries a token that is derived from it.
"""

import dataclasses
import hmac
import http
import json

import msgspec

from carobwood import errors
from carobwood import events
from carobwood import explanation_token

from . import explanation
from . import gateway

PATH = '/v1/explain'


class ExplanationApi:
    """Answers the calls of operators."""

    def __init__(self, explain, secret):
        """Create the API.

        Args:
            explain: function from a ``Query`` to an ``Explanation``, or None
                if this VM takes no callers.
            secret: the fleet's shared secret, as bytes.
        """
        self._explain = explain
        self._token = explanation_token.derive(secret)

    def handle(self, request):
        """Return the ``ApiResponse`` to an ``ApiRequest``."""
        try:
            found = self._handle_query(request)
        except errors.CarobwoodError as error:
            events.emit(events.EXPLANATION_REFUSED, code=error.code)
            return _reply(http.HTTPStatus(error.status), _error_body(error))
        events.emit(
            events.REQUEST_EXPLAINED,
            route=found.route,
            customer=found.customer,
            decisions=[service.decision.value for service in found.services],
        )
        return _reply(http.HTTPStatus.OK, dataclasses.asdict(found))

    def _handle_query(self, request):
        expected = f'Bearer {self._token}'.encode()
        given = request.headers.get('authorization', '').encode()
        if not hmac.compare_digest(given, expected):
            raise errors.OperatorRefused('the token is missing or wrong')
        if request.method != 'POST':
            raise errors.MethodNotAllowed('explanations are asked for by POST')
        if self._explain is None:
            raise errors.NotFound('this VM takes no callers')
        try:
            query = msgspec.json.decode(request.body, type=explanation.Query)
        except msgspec.DecodeError as error:
            raise errors.MalformedRequest(
                'the body is not a valid query'
            ) from error
        if min(_token_counts(query)) < 0:
            raise errors.MalformedRequest('a number of tokens is negative')
        return self._explain(query)


def _token_counts(query):
    segments = query.prompt_segments
    return (
        query.prompt_tokens or 0,
        query.output_tokens,
        *(segment.tokens for segment in segments),
    )


def _error_body(error):
    return {'error': {'code': error.code, 'message': error.detail}}


def _reply(status, fields):
    return gateway.ApiResponse(
        status.value, status.phrase, json.dumps(fields).encode()
    )
