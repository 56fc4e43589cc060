"""HTTP application of the operators' API."""

import hmac
import math

import cherrypy
import msgspec

from carobwood import errors
from carobwood import events

from ..entry import body_reader
from ..entry import strict_request
from . import messages

MAX_BODY_BYTES = 8 * 1024 * 1024
_BEARER_PREFIX = 'Bearer '
_NO_CONTACT_SECONDS = -1.0


class OperatorApplication:
    """Authenticates requests, decodes their bodies and calls the porcelain.

    Operators use every path but ``/v1/announcements``, to which endpoints
    send their announcements under a token of their own.
    """

    def __init__(self, porcelain, tokens, announce_token):
        """Create the application.

        Args:
            porcelain: the ``Porcelain`` that carries the requests out.
            tokens: (operator name, token) pairs.
            announce_token: token that endpoints announce themselves with.
        """
        self._porcelain = porcelain
        self._tokens = tokens
        self._announce_token = announce_token
        self._post_handlers_by_path = {
            '/v1/documents/check': self._check_document,
            '/v1/documents/diff': self._diff_document,
            '/v1/documents/apply': self._apply_document,
            '/v1/documents/promote': self._promote_document,
            '/v1/keys/issue': self._issue_key,
            '/v1/keys/withdraw': self._withdraw_key,
            '/v1/endpoints/drain': self._drain_endpoint,
            '/v1/orders/place': self._place_order,
            '/v1/vms/replace': self._replace_vm,
            '/v1/vms/forget': self._forget_vm,
            '/v1/fleet/found': self._found_fleet,
        }
        self._get_handlers_by_path = {
            '/v1/status': lambda environment: porcelain.vms.status(),
            '/v1/vms': lambda environment: porcelain.vms.all_vms(),
            '/v1/endpoints': lambda environment: (
                porcelain.endpoints.all_endpoints()
            ),
            '/v1/orders': lambda environment: porcelain.endpoints.orders(),
            '/v1/keys': lambda environment: porcelain.keys.all_keys(
                environment
            ),
            '/v1/customers': lambda environment: porcelain.documents.customers(
                environment
            ),
            '/v1/documents/current': lambda environment: (
                porcelain.documents.current(environment)
            ),
            '/v1/documents/history': lambda environment: (
                porcelain.documents.history(environment)
            ),
        }

    def handle(self):
        """Serve the request that CherryPy has parsed.

        Returns:
            The response body as a list of bytes.
        """
        request = cherrypy.serving.request
        with _server_of(request).buffers.reserve('request') as reservation:
            request.body_reservation = reservation
            return self._answer(request)

    def _answer(self, request):
        try:
            reply = self._dispatch(request)
        except errors.CarobwoodError as error:
            return _respond_with_error(error)
        except Exception as error:
            events.emit(events.REQUEST_CRASHED, error=repr(error))
            detail = 'the request could not be processed'
            return _respond_with_error(errors.InternalError(detail))
        return _respond(200, msgspec.json.encode(reply))

    def _dispatch(self, request):
        path = request.path_info
        if path == '/v1/announcements' and request.method == 'POST':
            self._authenticate_endpoint(request)
            announcement = _decode(request, messages.Announcement)
            return self._porcelain.endpoints.record_announcement(announcement)
        operator = self._authenticate_operator(request)
        if request.method == 'GET' and path in self._get_handlers_by_path:
            environment = request.params.get('environment', 'production')
            return self._get_handlers_by_path[path](str(environment))
        if request.method == 'POST' and path in self._post_handlers_by_path:
            return self._post_handlers_by_path[path](request, operator)
        raise errors.NotFound(
            f'unknown operation {request.method} {path[:100]}'
        )

    def _authenticate_operator(self, request):
        presented = _bearer_token(request)
        operator = ''
        # All tokens are compared, so that the time taken does not tell
        # which one matches.
        for name, token in self._tokens:
            if hmac.compare_digest(presented, token.encode('utf-8')):
                operator = name
        if not operator:
            raise errors.OperatorRefused(
                'operator token is missing or invalid'
            )
        return operator

    def _authenticate_endpoint(self, request):
        expected = self._announce_token.encode('utf-8')
        if not hmac.compare_digest(_bearer_token(request), expected):
            raise errors.OperatorRefused(
                'announcement token is missing or invalid'
            )

    def _check_document(self, request, operator):
        message = _decode(request, messages.DocumentText)
        return self._porcelain.documents.check(message)

    def _diff_document(self, request, operator):
        message = _decode(request, messages.DocumentText)
        return self._porcelain.documents.diff(message)

    def _apply_document(self, request, operator):
        message = _decode(request, messages.ApplyDocument)
        return self._porcelain.documents.apply(message, operator)

    def _promote_document(self, request, operator):
        message = _decode(request, messages.PromoteDocument)
        return self._porcelain.documents.promote(message, operator)

    def _issue_key(self, request, operator):
        message = _decode(request, messages.IssueKey)
        return self._porcelain.keys.issue(message, operator)

    def _withdraw_key(self, request, operator):
        message = _decode(request, messages.WithdrawKey)
        return self._porcelain.keys.withdraw(message, operator)

    def _drain_endpoint(self, request, operator):
        message = _decode(request, messages.DrainEndpoint)
        return self._porcelain.endpoints.drain(message, operator)

    def _place_order(self, request, operator):
        message = _decode(request, messages.PlaceOrder)
        return self._porcelain.endpoints.place_order(message, operator)

    def _replace_vm(self, request, operator):
        message = _decode(request, messages.ReplaceVm)
        return self._porcelain.vms.replace(message, operator)

    def _forget_vm(self, request, operator):
        message = _decode(request, messages.ForgetVm)
        return self._porcelain.vms.forget(message, operator)

    def _found_fleet(self, request, operator):
        return self._porcelain.vms.found(operator)


def _bearer_token(request):
    value = request.headers.get('Authorization', '')
    if not value.startswith(_BEARER_PREFIX):
        return b''
    return value.removeprefix(_BEARER_PREFIX).strip().encode('utf-8')


def _decode(request, message_type):
    length = request.headers.get('Content-Length', '')
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        # The body stays unread, so the connection cannot be reused.
        _close_connection(request)
        raise errors.BodyTooLarge(
            f'Content-Length is required, at most {MAX_BODY_BYTES} bytes'
        )
    body = _read_body(request, int(length))
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.MalformedRequest(str(error)[:300]) from error


def _read_body(request, length):
    connection = request.wsgi_environ[strict_request.CONNECTION_KEY].conn
    server = connection.server
    try:
        with server.request_reads.track(connection):
            body = body_reader.read(
                request.wsgi_environ['wsgi.input'],
                connection.rfile,
                request.body_reservation,
                server.timeout,
            )
        if len(body) < length:
            raise errors.MalformedRequest('the body is incomplete')
    except errors.MalformedRequest as error:
        if server.request_reads.is_ended:
            raise errors.Stopping('this VM is shutting down') from error
        raise
    return body


def _server_of(request):
    return request.wsgi_environ[strict_request.CONNECTION_KEY].server


def _close_connection(request):
    key = strict_request.CONNECTION_KEY
    request.wsgi_environ[key].close_connection = True


def _respond_with_error(error):
    response = cherrypy.serving.response
    response.headers['Carobwood-Outcome'] = error.outcome.value
    if error.retry_after is not None:
        response.headers['Retry-After'] = str(math.ceil(error.retry_after))
    return _respond(error.status, strict_request.encode_error(error))


def _respond(status, body):
    response = cherrypy.serving.response
    response.status = status
    response.headers['Content-Type'] = 'application/json'
    response.headers['Content-Length'] = str(len(body))
    return [body]
