"""Authenticated calls to the operators' interface of the VMs."""

import json

import urllib3

from carobwood import errors

CONNECT_TIMEOUT = 2.0
READ_TIMEOUT = 30.0


class Refused(errors.CarobwoodError):
    """A VM refused the operation.

    Attributes:
        code: code of the VM's error.
        status: HTTP status of the answer.
    """

    def __init__(self, code, status, detail):
        super().__init__(detail)
        self.code = code
        self.status = status


class Unreachable(errors.CarobwoodError):
    """No VM answered."""

    code = 'unreachable'


class Connection:
    """Calls the first VM that answers, in the order given."""

    def __init__(self, operators, token, ca_file=''):
        """Prepare the calls.

        Args:
            operators: addresses ``IP:PORT`` of operators' listeners.
            token: the operator's token.
            ca_file: PEM file of the authority of the listeners'
                certificates, or empty for plain text.
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
        """Return the decoded answer of a read."""
        return self._any('GET', path, None, fields)

    def post(self, path, read_timeout=READ_TIMEOUT, **fields):
        """Return the decoded answer of an operation.

        The same operation is sent to the next VM if one does not
        answer; its id keeps it from taking effect twice.
        """
        return self._any('POST', path, fields, None, read_timeout)

    def post_to(self, operator, path, **fields):
        """Return the decoded answer of one VM."""
        return self._call(operator, 'POST', path, fields, None)

    def _any(self, method, path, body, fields, read_timeout=READ_TIMEOUT):
        problems = []
        for operator in self.operators:
            try:
                return self._call(
                    operator, method, path, body, fields, read_timeout
                )
            except Unreachable as error:
                problems.append(error.detail)
        raise Unreachable('; '.join(problems) or 'no VM is named')

    def _call(
        self, operator, method, path, body, fields, read_timeout=READ_TIMEOUT
    ):
        data = json.dumps(body).encode('utf-8') if body is not None else None
        try:
            answer = self._manager.request(
                method,
                f'{self._scheme}://{operator}{path}',
                body=data,
                fields=fields or None,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT, read=read_timeout
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            raise Unreachable(f'{operator}: {type(error).__name__}') from (
                error
            )
        return _decode(operator, answer)


def _decode(operator, answer):
    try:
        decoded = json.loads(answer.data)
    except ValueError as error:
        raise Unreachable(f'{operator}: no JSON') from error
    if answer.status == 200:
        return decoded
    fault = decoded.get('error', {})
    raise Refused(
        fault.get('code', 'unknown'),
        answer.status,
        fault.get('message', f'status {answer.status}'),
    )
