"""The application behind the operators' listener."""

import hmac
import math

import cherrypy
import msgspec

from carobwood import errors
from carobwood import events

from ..entry import strict_request
from . import messages

MAX_BODY_BYTES = 8 * 1024 * 1024
_BEARER = 'Bearer '
_NO_CONTACT_SECONDS = -1.0


class OperatorApplication:
    """Checks tokens, decodes messages and calls the porcelain."""

    def __init__(self, porcelain, tokens, announce_token):
        self._porcelain = porcelain
        self._tokens = tokens
        self._announce_token = announce_token
        self._posts_by_path = {
            '/v1/documents/check': self._check,
            '/v1/documents/diff': self._diff,
            '/v1/documents/apply': self._apply,
            '/v1/documents/promote': self._promote,
            '/v1/keys/issue': self._issue,
            '/v1/keys/withdraw': self._withdraw,
            '/v1/endpoints/drain': self._drain,
            '/v1/orders/place': self._place_order,
            '/v1/vms/replace': self._replace,
            '/v1/vms/forget': self._forget,
            '/v1/fleet/found': self._found,
        }
        self._gets_by_path = {
            '/v1/status': lambda query: porcelain.status(),
            '/v1/vms': lambda query: porcelain.vms(),
            '/v1/endpoints': lambda query: porcelain.endpoints(),
            '/v1/orders': lambda query: porcelain.orders(),
            '/v1/keys': lambda query: porcelain.keys(query),
            '/v1/customers': lambda query: porcelain.customers(query),
            '/v1/documents/current': lambda query: porcelain.document(query),
            '/v1/documents/history': lambda query: porcelain.history(query),
        }

    def handle(self):
        """Serve the request that CherryPy has parsed."""
        try:
            reply = self._serve(cherrypy.serving.request)
        except errors.CarobwoodError as error:
            return _refuse(error)
        except Exception as error:
            events.emit(events.REQUEST_CRASHED, error=repr(error))
            detail = 'the request could not be processed'
            return _refuse(errors.InternalError(detail))
        return _answer(200, msgspec.json.encode(reply))

    def _serve(self, request):
        path = request.path_info
        if path == '/v1/announcements' and request.method == 'POST':
            self._require_endpoint(request)
            announcement = _decode(request, messages.Announcement)
            return self._porcelain.announce(announcement)
        operator = self._authenticate(request)
        if request.method == 'GET' and path in self._gets_by_path:
            environment = request.params.get('environment', 'production')
            return self._gets_by_path[path](str(environment))
        if request.method == 'POST' and path in self._posts_by_path:
            return self._posts_by_path[path](request, operator)
        raise errors.NotFound(f'no operation {request.method} {path[:100]}')

    def _authenticate(self, request):
        shown = _shown_token(request)
        found = ''
        for name, token in self._tokens:
            if hmac.compare_digest(shown, token.encode('utf-8')):
                found = name
        if not found:
            raise errors.OperatorRefused('show an operator token')
        return found

    def _require_endpoint(self, request):
        expected = self._announce_token.encode('utf-8')
        if not hmac.compare_digest(_shown_token(request), expected):
            raise errors.OperatorRefused('show the announcement token')

    def _check(self, request, operator):
        message = _decode(request, messages.DocumentText)
        return self._porcelain.check(message)

    def _diff(self, request, operator):
        message = _decode(request, messages.DocumentText)
        return self._porcelain.diff(message)

    def _apply(self, request, operator):
        message = _decode(request, messages.ApplyDocument)
        return self._porcelain.apply(message, operator)

    def _promote(self, request, operator):
        message = _decode(request, messages.PromoteDocument)
        return self._porcelain.promote(message, operator)

    def _issue(self, request, operator):
        message = _decode(request, messages.IssueKey)
        return self._porcelain.issue_key(message, operator)

    def _withdraw(self, request, operator):
        message = _decode(request, messages.WithdrawKey)
        return self._porcelain.withdraw_key(message, operator)

    def _drain(self, request, operator):
        message = _decode(request, messages.DrainEndpoint)
        return self._porcelain.drain(message, operator)

    def _place_order(self, request, operator):
        message = _decode(request, messages.PlaceOrder)
        return self._porcelain.place_order(message, operator)

    def _replace(self, request, operator):
        message = _decode(request, messages.ReplaceVm)
        return self._porcelain.replace(message, operator)

    def _forget(self, request, operator):
        message = _decode(request, messages.ForgetVm)
        return self._porcelain.forget(message, operator)

    def _found(self, request, operator):
        return self._porcelain.found(operator)


def _shown_token(request):
    value = request.headers.get('Authorization', '')
    if not value.startswith(_BEARER):
        return b''
    return value.removeprefix(_BEARER).strip().encode('utf-8')


def _decode(request, kind):
    length = request.headers.get('Content-Length', '')
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        _close_connection(request)
        raise errors.BodyTooLarge(
            f'send a Content-Length of at most {MAX_BODY_BYTES}'
        )
    body = request.wsgi_environ['wsgi.input'].read(int(length))
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.MalformedRequest(str(error)[:300]) from error


def _close_connection(request):
    key = strict_request.CONNECTION_KEY
    request.wsgi_environ[key].close_connection = True


def _refuse(error):
    response = cherrypy.serving.response
    response.headers['Carobwood-Outcome'] = error.outcome.value
    if error.retry_after is not None:
        response.headers['Retry-After'] = str(math.ceil(error.retry_after))
    return _answer(error.status, strict_request.encode_error(error))


def _answer(status, body):
    response = cherrypy.serving.response
    response.status = status
    response.headers['Content-Type'] = 'application/json'
    response.headers['Content-Length'] = str(len(body))
    return [body]
