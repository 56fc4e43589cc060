"""Token with which operators ask a VM to explain a request."""

import hmac

_PURPOSE = b'carobwood explain'


def derive(secret):
    """Return the token that belongs to the fleet's shared secret.

    The secret can't be computed from it, and no link accepts it.

    Args:
        secret: the secret, as bytes.
    """
    return hmac.new(secret, _PURPOSE, 'sha256').hexdigest()
