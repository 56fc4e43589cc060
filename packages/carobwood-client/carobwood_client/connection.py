"""Authenticated calls to the operators' HTTP API of the VMs."""

import json

import urllib3

from carobwood import errors

CONNECT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 30.0


class ErrorResponse(errors.CarobwoodError):
    """A VM answered a call with an error.

    Attributes:
        code: error code that the VM reports, such as ``not_found``.
        status: HTTP status of the response.
    """

    def __init__(self, code, status, detail):
        super().__init__(detail)
        self.code = code
        self.status = status


class Unreachable(errors.CarobwoodError):
    """A VM, or each VM that was tried, gave no usable response."""

    code = 'unreachable'


class Connection:
    """Calls the first VM that answers, in the order of their addresses.

    Attributes:
        operators: addresses ``IP:PORT`` of the operators' listeners.
    """

    def __init__(self, operators, token, ca_file=''):
        """Create a connection; nothing is sent yet.

        Args:
            operators: addresses ``IP:PORT`` of the operators' listeners.
            token: the operator's bearer token.
            ca_file: PEM file of the certificate authority that signed the
                listeners' certificates, or empty for HTTP without TLS.
        """
        self.operators = tuple(operators)
        self._scheme = 'https' if ca_file else 'http'
        options = {'ca_certs': ca_file} if ca_file else {}
        self._manager = urllib3.PoolManager(
            retries=False,
            headers={
                'Authorization': f'Bearer {token}',
                'Content-Type': 'application/json',
            },
            **options,
        )

    def get(self, path, **fields):
        """Return the decoded response to a GET request.

        Args:
            path: path of the call.
            **fields: parameters of the query.

        Raises:
            ErrorResponse: the VM answered with an error.
            Unreachable: no VM gave a usable response.
        """
        return self._call_first_reachable('GET', path, None, fields)

    def post(self, path, read_timeout=READ_TIMEOUT_SECONDS, **fields):
        """Return the decoded response to a POST request.

        If a VM does not answer, the request is sent to the next one.
        Changes carry an operation id, which keeps them from being
        applied twice.

        Args:
            path: path of the call.
            read_timeout: seconds to wait for data of the response.
            **fields: fields of the JSON body.

        Raises:
            ErrorResponse: the VM answered with an error.
            Unreachable: no VM gave a usable response.
        """
        return self._call_first_reachable(
            'POST', path, fields, None, read_timeout
        )

    def post_to(self, operator, path, **fields):
        """Return the decoded response to a POST request to one VM.

        Args:
            operator: address ``IP:PORT`` of the VM's operators' listener.
            path: path of the call.
            **fields: fields of the JSON body.

        Raises:
            ErrorResponse: the VM answered with an error.
            Unreachable: the VM gave no usable response.
        """
        return self._call(operator, 'POST', path, fields, None)

    def _call_first_reachable(
        self, method, path, body, query, read_timeout=READ_TIMEOUT_SECONDS
    ):
        failures = []
        for operator in self.operators:
            try:
                return self._call(
                    operator, method, path, body, query, read_timeout
                )
            except Unreachable as error:
                failures.append(error.detail)
        raise Unreachable('; '.join(failures) or 'no addresses of VMs given')

    def _call(
        self,
        operator,
        method,
        path,
        body,
        query,
        read_timeout=READ_TIMEOUT_SECONDS,
    ):
        data = json.dumps(body).encode('utf-8') if body is not None else None
        try:
            response = self._manager.request(
                method,
                f'{self._scheme}://{operator}{path}',
                body=data,
                fields=query or None,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=read_timeout
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            raise Unreachable(f'{operator}: {type(error).__name__}') from (
                error
            )
        return _decode(operator, response)


def _decode(operator, response):
    try:
        decoded = json.loads(response.data)
    except ValueError as error:
        raise Unreachable(f'{operator}: the response is not JSON') from error
    if response.status == 200:
        return decoded
    error_fields = decoded.get('error', {})
    raise ErrorResponse(
        error_fields.get('code', 'unknown'),
        response.status,
        error_fields.get('message', f'HTTP status {response.status}'),
    )
