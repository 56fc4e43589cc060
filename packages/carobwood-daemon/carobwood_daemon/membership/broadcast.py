"""Sends urgent gossip messages directly to VMs, and not over the tree."""

import concurrent.futures

from carobwood import clocks
from carobwood import errors
from carobwood import events

# Calls in progress while a message is sent to all VMs.
THREADS = 8
CALL_SECONDS = 1.0


class Broadcast:
    """Sends a message to other VMs and tells which have accepted it."""

    def __init__(self, directory, links):
        """Create the sender.

        Args:
            directory: the ``Directory``.
            links: the ``Links``.
        """
        self._directory = directory
        self._links = links

    def send(self, address, message):
        """Send a message without waiting longer than a call may take.

        Returns:
            Whether the VM has accepted it.
        """
        try:
            reply = self._links.to(address).call(
                'gossip', message, CALL_SECONDS
            )
        except errors.LinkFailed as error:
            events.emit(events.VM_SILENT, reason=error.detail)
            return False
        return reply.accepted

    def send_to_all(self, message, timeout):
        """Send a message to all live VMs and wait for their replies.

        Args:
            message: the ``GossipMessage``.
            timeout: seconds to wait for all VMs together.

        Returns:
            Link addresses of the VMs that have accepted it in time.
        """
        executor = concurrent.futures.ThreadPoolExecutor(THREADS)
        addresses_by_call = {
            executor.submit(self.send, address, message): address
            for address in self._live_addresses()
        }
        done, _ = concurrent.futures.wait(addresses_by_call, timeout)
        executor.shutdown(wait=False, cancel_futures=True)
        return {addresses_by_call[call] for call in done if call.result()}

    def _live_addresses(self):
        now = clocks.now()
        return [
            vm.link_address
            for vm in self._directory.vms()[1:]
            if not vm.is_silent(now)
        ]
