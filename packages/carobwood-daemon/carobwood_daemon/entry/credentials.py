"""Callers' credentials: from headers to the customer."""

import dataclasses

from returns import result

from carobwood import errors
from carobwood import keys

_BEARER = 'bearer'


@dataclasses.dataclass(frozen=True)
class Caller:
    """Who calls.

    Attributes:
        customer: the ``Customer``, or None on an open route.
        key_digest: digest of the key shown, or an empty string.
    """

    customer: object
    key_digest: str = ''

    @property
    def customer_id(self):
        """Name of the customer, or an empty string."""
        return self.customer.id if self.customer else ''


ANONYMOUS = Caller(None)


def extract_key(authorization, api_key):
    """Return the one well-formed key of a request.

    Args:
        authorization: value of the ``Authorization`` header, or None.
        api_key: value of the ``X-Api-Key`` header, or None.

    Returns:
        ``Success(key)`` or ``Failure(RequestRefused)``.
    """
    if authorization is not None and api_key is not None:
        return result.Failure(
            errors.ConflictingCredentials('two credentials were shown')
        )
    if authorization is None and api_key is None:
        return result.Failure(errors.CredentialMissing('show a key'))
    secret = api_key
    if authorization is not None:
        scheme, _, secret = authorization.partition(' ')
        if scheme.lower() != _BEARER:
            secret = ''
    if not keys.is_well_formed(secret):
        return result.Failure(
            errors.CredentialMalformed('the credential is no key')
        )
    return result.Success(secret)


class Gatekeeper:
    """Looks keys up in the state that this VM holds."""

    def __init__(self, store, withdrawals, environment):
        self._store = store
        self._withdrawals = withdrawals
        self._environment = environment

    def admit(self, document, authorization, api_key):
        """Return the ``Caller`` of a request on a keyed route.

        Raises:
            RequestRefused: the request must not run.
        """
        match extract_key(authorization, api_key):
            case result.Failure(error):
                raise error
            case result.Success(secret):
                digest = keys.digest_key(secret)
        if self.is_withdrawn(digest):
            raise errors.KeyRefused('the key is not valid')
        record = self._store.fleet.keys_by_digest.get(digest)
        if record is None or record.environment != self._environment:
            raise errors.KeyRefused('the key is not valid')
        customer = document.customers_by_id.get(record.customer)
        if customer is None:
            raise errors.KeyRefused('the key is not valid')
        if self._store.contact_age() > customer.offline_grace_seconds:
            raise errors.GraceExpired(
                'this VM is cut off for longer than the offline grace'
            )
        return Caller(customer, digest)

    def refuse_withdrawn(self, digest):
        """Refuse a request whose key was withdrawn while it waited.

        Raises:
            KeyRefused: the key must not work any more.
        """
        if self.is_withdrawn(digest):
            raise errors.KeyRefused('the key was withdrawn meanwhile')

    def is_withdrawn(self, digest):
        """Tell whether a key must not work any more."""
        if digest in self._withdrawals.digests:
            return True
        return digest in self._store.fleet.withdrawn_digests
