"""Authenticates callers by the key in their request headers."""

import dataclasses

from returns import result

from carobwood import errors
from carobwood import keys

_BEARER_SCHEME = 'bearer'


@dataclasses.dataclass(frozen=True)
class Caller:
    """The sender of a request.

    Attributes:
        customer: the ``Customer``, or None on an open route.
        key_digest: digest of the key, or an empty string on an open route.
    """

    customer: object
    key_digest: str = ''

    @property
    def customer_id(self):
        """Id of the customer, or an empty string on an open route."""
        return self.customer.id if self.customer else ''


ANONYMOUS = Caller(None)


def extract_key(authorization, api_key):
    """Return the key of a request if there is exactly one.

    Args:
        authorization: value of the ``Authorization`` header, or None.
        api_key: value of the ``X-Api-Key`` header, or None.

    Returns:
        ``Success(key)`` or ``Failure(RequestRefused)``.
    """
    if authorization is not None and api_key is not None:
        return result.Failure(
            errors.ConflictingCredentials('the request has two credentials')
        )
    if authorization is None and api_key is None:
        return result.Failure(
            errors.CredentialMissing('the request has no key')
        )
    secret = api_key
    if authorization is not None:
        scheme, _, secret = authorization.partition(' ')
        if scheme.lower() != _BEARER_SCHEME:
            secret = ''
    if not keys.is_well_formed(secret):
        return result.Failure(
            errors.CredentialMalformed(
                'the credential is not a well-formed key'
            )
        )
    return result.Success(secret)


class Authenticator:
    """Authenticates keys by the replicated state that this VM holds."""

    def __init__(self, store, withdrawals, environment):
        self._store = store
        self._withdrawals = withdrawals
        self._environment = environment

    def authenticate(self, document, authorization, api_key):
        """Return the ``Caller`` of a request on a keyed route.

        Args:
            document: the ``Document`` in force.
            authorization: value of the ``Authorization`` header, or None.
            api_key: value of the ``X-Api-Key`` header, or None.

        Raises:
            ConflictingCredentials: both headers are present.
            CredentialMissing: neither header is present.
            CredentialMalformed: the credential is not a well-formed key.
            KeyRefused: the key is unknown or withdrawn, or its customer
                is not in the document.
            GraceExpired: this VM has not heard of a Raft leader for longer
                than the offline grace of the customer.
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
                'no Raft leader was heard of for longer than the offline grace'
            )
        return Caller(customer, digest)

    def check_not_withdrawn(self, digest):
        """Check that a key was not withdrawn while its request waited.

        Raises:
            KeyRefused: the key was withdrawn.
        """
        if self.is_withdrawn(digest):
            raise errors.KeyRefused(
                'the key was withdrawn while the request waited'
            )

    def is_withdrawn(self, digest):
        """Tell whether a key was withdrawn, committed or not.

        A withdrawal takes effect as soon as this VM receives it, before
        a quorum has committed it.
        """
        if digest in self._withdrawals.digests:
            return True
        return digest in self._store.fleet.withdrawn_digests
