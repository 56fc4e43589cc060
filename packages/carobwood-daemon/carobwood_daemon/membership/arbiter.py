"""Lets one suspect at a time run on an endpoint, over the whole fleet.

For each endpoint one live VM is the arbiter: the first choice of
rendezvous hashing, so every VM asks the same one.
"""

import threading
import time

from carobwood import errors
from carobwood.gen.links import ttypes

from ..routing import rendezvous

from . import strikes

HOLD_LIFETIME = 120.0
POLL_SECONDS = 0.05
RELEASE_PERIOD = 0.5
CALL_TIMEOUT = 0.5


class Holds:
    """Who holds which endpoint, on the arbiter's side.

    A hold whose VM was lost ends by itself after ``HOLD_LIFETIME``.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._lock = threading.Lock()
        self._holds_by_endpoint = {}

    def take(self, endpoint_id, holder):
        """Claim an endpoint; tell whether the holder has it now."""
        now = self._clock()
        with self._lock:
            known, until = self._holds_by_endpoint.get(endpoint_id, ('', 0.0))
            if known not in ('', holder) and now < until:
                return False
            until = now + HOLD_LIFETIME
            self._holds_by_endpoint[endpoint_id] = (holder, until)
            return True

    def decide(self, endpoint_id, holder, release):
        """Take or release an endpoint; tell whether it was done."""
        if release:
            self.release(endpoint_id, holder)
            return True
        return self.take(endpoint_id, holder)

    def release(self, endpoint_id, holder):
        """Give a claim up."""
        with self._lock:
            known, _ = self._holds_by_endpoint.get(endpoint_id, ('', 0.0))
            if known == holder:
                del self._holds_by_endpoint[endpoint_id]


class Arbiter:
    """Asks the arbiter of an endpoint for a hold, from any VM.

    Strikes travel with every request and reply, so that who gets a hold
    knows of the crash that its last holder caused.
    """

    def __init__(
        self, holds, suspects, directory, links, clock=time.monotonic
    ):
        self._holds = holds
        self._suspects = suspects
        self._directory = directory
        self._links = links
        self._clock = clock

    def hold(self, endpoint, holder, timeout):
        """Wait until a suspect may run on an endpoint alone.

        Args:
            endpoint: the ``Endpoint``.
            holder: name of this run, unique in the fleet.
            timeout: seconds to wait.

        Raises:
            Saturated: it did not become free in time.
        """
        deadline = self._clock() + timeout
        while not self._ask(endpoint, holder, False):
            if self._clock() > deadline:
                raise errors.Saturated('no endpoint is free to run it apart')
            time.sleep(POLL_SECONDS)

    def release(self, endpoint, holder):
        """Give a hold up."""
        if not self._ask(endpoint, holder, True):
            threading.Thread(
                target=self._release_later,
                args=(endpoint, holder),
                name='release',
                daemon=True,
            ).start()

    def _release_later(self, endpoint, holder):
        deadline = self._clock() + HOLD_LIFETIME
        while self._clock() < deadline:
            time.sleep(RELEASE_PERIOD)
            if self._ask(endpoint, holder, True):
                return

    def _ask(self, endpoint, holder, release):
        vm = self._arbiter_of(endpoint)
        if vm.id == self._directory.own_vm.id:
            return self._holds.decide(endpoint.id, holder, release)
        request = ttypes.ApartRequest(
            endpoint.id, holder, release, strikes.describe(self._suspects)
        )
        try:
            link = self._links.to(vm.link_address)
            reply = link.call('hold_apart', request, CALL_TIMEOUT)
        except errors.LinkFailed:
            # Two VMs that decide would let two suspects run at once. An
            # arbiter that stays silent is soon followed by the next one.
            return False
        strikes.take_over(self._suspects, reply.strikes)
        return reply.granted

    def _arbiter_of(self, endpoint):
        now = self._clock()
        vms = [vm for vm in self._directory.vms() if not vm.is_silent(now)]
        return rendezvous.rank(endpoint.id.encode('utf-8'), vms)[0]
