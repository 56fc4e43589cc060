"""How many requests a version that is not yet trusted may get.

Load pattern: 8 to 400 VMs choose at the same moment which version gets a
request, their reports of what they have sent come late or never, and the VM
that decides may be replaced at any time.

The right to send one request is granted once, and counts as used from then
on. The sum of what all owners have granted stays within a total that is in
the replicated log before it is used, and that total within a share of the
requests that the VMs have reported. A new owner begins at the total, as it
does not know how much of it has been granted.
"""

import dataclasses
import math
import random

# Parts of what the operators allow, so that the requests of VMs that are cut
# off and are not reported do not exceed it.
SHARE_FACTOR = 0.8
SLACK_FACTOR = 0.5
# Requests that are reserved beyond those granted, at least.
RESERVE_STEP = 16


@dataclasses.dataclass(frozen=True)
class ExposureBounds:
    """Bounds of the requests to the target version of a rollout.

    Attributes:
        share: share of the service's requests.
        slack: requests in addition.
    """

    share: float
    slack: float

    def allowance(self, sent):
        """Return how many requests may have been granted.

        Args:
            sent: requests that all VMs have sent to the service since the
                order, as far as they have reported them.
        """
        allowed = SHARE_FACTOR * self.share * sent
        return math.floor(allowed + SLACK_FACTOR * self.slack)


class ExposureBudget:
    """What the owner of a rollout has granted and may still grant.

    Attributes:
        granted: requests that all owners may have granted so far.
        reserved: the total in the replicated log.
    """

    def __init__(self, bounds, reserved, rng=random):
        """Begin as a new owner.

        Args:
            bounds: the ``ExposureBounds``.
            reserved: the total that earlier owners have reserved.
            rng: source of random numbers.
        """
        self._bounds = bounds
        self._random = rng
        self.granted = reserved
        self.reserved = reserved

    def wanted_reservation(self, sent, wanted):
        """Return the total to reserve, which may be the present one.

        Args:
            sent: see ``ExposureBounds.allowance``.
            wanted: requests that all VMs want to send until their next
                reports.
        """
        ahead = self.granted + max(RESERVE_STEP, wanted)
        return max(self.reserved, min(ahead, self._bounds.allowance(sent)))

    def note_reserved(self, total):
        """Note that a total has been committed to the replicated log."""
        self.reserved = max(self.reserved, total)

    def note_sent(self, number):
        """Note how many requests the target version has got.

        More than were granted if no other version was left to serve; they
        leave less to grant.
        """
        self.granted = max(self.granted, number)

    def grant(self, wanted, all_wanted):
        """Grant a VM its part of the requests that are left.

        Fractions are rounded at random, so that each of many VMs gets a
        request now and then.

        Args:
            wanted: requests that the VM wants to send.
            all_wanted: those that all VMs want to send, this one included.

        Returns:
            The number of requests.
        """
        left = self.reserved - self.granted
        if wanted <= 0 or left <= 0:
            return 0
        part = min(wanted, left * wanted / max(wanted, all_wanted))
        number = min(left, math.floor(part + self._random.random()))
        self.granted += number
        return number
