"""Fleet-wide exclusive locks on endpoints, for suspect requests.

A request that was in flight on an endpoint when it crashed is a suspect.
Only one suspect at a time may run on an endpoint, so that another crash
incriminates no other suspect. For each endpoint, the live VM that
rendezvous hashing ranks first grants the lock, so that every VM asks the
same one.

VMs may differ on who is alive, and then on who is first. The next ones in the
ranking are therefore asked as well, and none of them may deny the lock. All
ask in the order of the ranking, and none waits for a VM while it holds the
lock of one that comes later, so that no two wait for each other.
"""

import threading
import time

from carobwood import clocks
from carobwood import errors
from carobwood.gen.links import ttypes

from ..routing import rendezvous

from . import strike_messages

# A lock expires after this time, in case its holder's VM is lost.
LOCK_LIFETIME_SECONDS = 120.0
ACQUIRE_POLL_SECONDS = 0.05
RELEASE_RETRY_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 0.5
# Live VMs that are asked for a lock. Two VMs ask a common one, unless they
# differ on the state of that many.
MAX_GRANTORS = 3


class EndpointLockTable:
    """Table of the endpoint locks that this VM has granted.

    A lock expires after ``LOCK_LIFETIME_SECONDS``, so that the loss of the
    VM that holds it does not block the endpoint forever.
    """

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._locks_by_endpoint = {}

    def acquire(self, endpoint_id, holder):
        """Acquire or renew the lock of an endpoint.

        Args:
            endpoint_id: id of the endpoint.
            holder: name of the run that asks, unique in the fleet.

        Returns:
            Whether ``holder`` holds the lock now.
        """
        now = self._clock()
        with self._lock:
            current_holder, expires_at = self._locks_by_endpoint.get(
                endpoint_id, ('', 0.0)
            )
            if current_holder not in ('', holder) and now < expires_at:
                return False
            expires_at = now + LOCK_LIFETIME_SECONDS
            self._locks_by_endpoint[endpoint_id] = (holder, expires_at)
            return True

    def handle_request(self, endpoint_id, holder, release):
        """Handle a request to acquire or to release a lock.

        Args:
            endpoint_id: id of the endpoint.
            holder: name of the run that asks, unique in the fleet.
            release: whether to release the lock instead of acquiring it.

        Returns:
            Whether the lock is acquired, or True for a release.
        """
        if release:
            self.release(endpoint_id, holder)
            return True
        return self.acquire(endpoint_id, holder)

    def release(self, endpoint_id, holder):
        """Release the lock of an endpoint if ``holder`` holds it."""
        with self._lock:
            current_holder, _ = self._locks_by_endpoint.get(
                endpoint_id, ('', 0.0)
            )
            if current_holder == holder:
                del self._locks_by_endpoint[endpoint_id]


class EndpointLocks:
    """Acquires and releases endpoint locks on the VMs that grant them.

    A strike records that a request was in flight on an endpoint when it
    crashed. Every request and reply carries the live strikes, so that the
    next holder of a lock knows of a crash that the previous holder caused.
    """

    def __init__(
        self,
        lock_table,
        crash_suspects,
        directory,
        links,
        clock=clocks.now,
    ):
        self._lock_table = lock_table
        self._crash_suspects = crash_suspects
        self._directory = directory
        self._links = links
        self._clock = clock
        # The VMs that may have granted a lock, by holder.
        self._asked_by_holder = {}

    def acquire(self, endpoint, holder, timeout):
        """Acquire the lock of an endpoint, waiting until it is free.

        Args:
            endpoint: the ``Endpoint``.
            holder: name of the suspect's run, unique in the fleet.
            timeout: seconds to wait.

        Raises:
            Saturated: the lock was not acquired in time.
        """
        deadline = self._clock() + timeout
        while not self._ask_grantors(endpoint, holder):
            if self._clock() > deadline:
                self.release(endpoint, holder)
                raise errors.Saturated(
                    'timed out waiting for exclusive use of an endpoint'
                )
            time.sleep(ACQUIRE_POLL_SECONDS)

    def release(self, endpoint, holder):
        """Release the lock of an endpoint.

        If a VM that may have granted it cannot be reached, a thread repeats
        the call until the lock has expired anyway.

        Args:
            endpoint: the ``Endpoint``.
            holder: name of the run that holds the lock.
        """
        asked = self._asked_by_holder.pop(holder, {})
        unreached = self._release_at(asked.values(), endpoint, holder)
        if unreached:
            threading.Thread(
                target=self._release_later,
                args=(unreached, endpoint, holder),
                name='release',
                daemon=True,
            ).start()

    def _ask_grantors(self, endpoint, holder):
        """Ask for the lock of an endpoint.

        The first VM in the ranking must grant it. No other one may deny it,
        but one that does not answer is left out.

        Returns:
            Whether ``holder`` holds the lock now.
        """
        asked = self._asked_by_holder.setdefault(holder, {})
        grantors = self._grantors_of(endpoint)
        for vm in grantors:
            asked[vm.id] = vm
            try:
                is_granted = self._call_grantor(vm, endpoint, holder, False)
            except errors.LinkFailed:
                # The next VM must not grant the lock instead while the first
                # one may be alive. A VM that stays silent counts as lost
                # after ``VM_SILENCE_SECONDS``.
                is_granted = vm is not grantors[0]
            if not is_granted:
                self._release_after(vm, endpoint, holder)
                return False
        return True

    def _release_after(self, vm, endpoint, holder):
        """Release the lock at the VMs that rank after one that denies it.

        They may have granted it while that VM seemed silent. Whoever waits
        for an earlier VM must not hold the lock at a later one.
        """
        asked = self._asked_by_holder[holder]
        ranked = _rank(endpoint, asked.values())
        later = ranked[ranked.index(vm) + 1 :]
        unreached = self._release_at(later, endpoint, holder)
        for released in later:
            if released not in unreached:
                del asked[released.id]

    def _release_at(self, vms, endpoint, holder):
        """Release a lock at some VMs; return those that did not answer."""
        unreached = []
        for vm in vms:
            try:
                self._call_grantor(vm, endpoint, holder, True)
            except errors.LinkFailed:
                unreached.append(vm)
        return unreached

    def _release_later(self, vms, endpoint, holder):
        for _ in range(int(LOCK_LIFETIME_SECONDS / RELEASE_RETRY_SECONDS)):
            time.sleep(RELEASE_RETRY_SECONDS)
            vms = self._release_at(vms, endpoint, holder)
            if not vms:
                return

    def _call_grantor(self, vm, endpoint, holder, release):
        if vm.id == self._directory.own_vm.id:
            return self._lock_table.handle_request(
                endpoint.id, holder, release
            )
        request = ttypes.ApartRequest(
            endpoint.id,
            holder,
            release,
            strike_messages.to_thrift(self._crash_suspects),
        )
        link = self._links.to(vm.link_address)
        reply = link.call('hold_apart', request, CALL_TIMEOUT_SECONDS)
        strike_messages.merge_thrift(self._crash_suspects, reply.strikes)
        return reply.granted

    def _grantors_of(self, endpoint):
        """Return the live VMs that are asked, in the order of the ranking."""
        now = self._clock()
        vms = [vm for vm in self._directory.vms() if not vm.is_silent(now)]
        return _rank(endpoint, vms)[:MAX_GRANTORS]


def _rank(endpoint, vms):
    return rendezvous.rank(endpoint.id.encode('utf-8'), vms)
