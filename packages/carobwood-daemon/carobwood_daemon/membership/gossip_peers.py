"""Threads that exchange gossip with aggregators, one for each."""

import concurrent.futures
import threading
import time

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

from . import directory as directories

CALL_TIMEOUT_SECONDS = 1.0
# Period of an uplink before its aggregator has named one.
INITIAL_PERIOD_SECONDS = 0.1
# Time for the first connection to a VM. One that starts at the same time takes
# no packet yet, and the lost one would only be sent again after a second.
FIRST_CONNECT_SECONDS = 0.2
# Minimum time between two exchanges, also if more is to be sent.
MIN_PAUSE_SECONDS = 0.03
# Time between two messages to an aggregator that does not answer.
SILENT_PERIOD_SECONDS = 1.0
# Notifications of members that are sent at once, and the time for each.
NOTIFIER_THREADS = 4
NOTIFY_SECONDS = 0.5
# Time between two announcements of an endpoint of which nothing has changed.
REFRESH_PERIOD_SECONDS = 2.0


class GossipThread(threading.Thread):
    """A thread that exchanges messages periodically or when woken."""

    def __init__(self, name, gossip):
        super().__init__(name=name, daemon=True)
        self._gossip = gossip
        self._is_stopped = False
        self._changed = threading.Condition()
        self._is_woken = False
        self._is_silent = False
        self._refreshed_at = float('-inf')
        self._first_connect_seconds = FIRST_CONNECT_SECONDS
        self.period = INITIAL_PERIOD_SECONDS

    def run(self):
        """Exchange messages until stopped."""
        while not self._gossip.is_stopped and not self._is_stopped:
            try:
                self.exchange()
            except Exception as error:
                events.emit(
                    events.THREAD_FAILED, thread=self.name, error=repr(error)
                )
            self._pause()

    def wake(self):
        """Start the next exchange now."""
        with self._changed:
            self._is_woken = True
            self._changed.notify_all()

    def stop(self):
        """End the thread after its current exchange."""
        self._is_stopped = True
        self.wake()

    def exchange(self):
        """Send one message and merge the reply."""
        raise NotImplementedError

    def _pause(self):
        time.sleep(MIN_PAUSE_SECONDS)
        with self._changed:
            self._changed.wait_for(
                lambda: self._is_woken, self.period - MIN_PAUSE_SECONDS
            )
            self._is_woken = False

    def _add_refreshed_endpoints(self, message):
        """Add the endpoints that announce to this VM, from time to time."""
        now = clocks.now()
        if now - self._refreshed_at >= REFRESH_PERIOD_SECONDS:
            self._refreshed_at = now
            message.records.announcements += self._gossip.refreshed_endpoints()

    def _call(self, link, message, has_answered):
        """Send a message and return the reply.

        Args:
            link: the ``Link`` to the other VM.
            message: the ``GossipMessage``.
            has_answered: whether the VM has answered this thread before.

        Raises:
            LinkFailed: no reply arrived.
        """
        seconds = CALL_TIMEOUT_SECONDS
        if not has_answered:
            seconds = min(seconds, self._first_connect_seconds)
        return link.call('gossip', message, CALL_TIMEOUT_SECONDS, seconds)

    def _note_failure(self, error):
        if not self._is_silent:
            events.emit(events.VM_SILENT, reason=error.detail)
        self._is_silent = True
        # VMs that have much to do at their start may need longer.
        self._first_connect_seconds *= 2

    def _note_reply(self, reply):
        if self._is_silent:
            events.emit(events.VM_REGAINED, vm=reply.vm.vm_id)
        self._is_silent = False


class AggregatorPeer(GossipThread):
    """Sends another aggregator the records and sums of this VM's group.

    Attributes:
        address: link address of the other aggregator.
    """

    def __init__(self, gossip, link):
        super().__init__(f'gossip-{link.address}', gossip)
        self.address = str(link.address)
        self._link = link
        self._vm_id = ''
        self._position = None
        self._incarnation = 0
        self._answered_at = clocks.now()
        # From when on news of members has still to be passed on.
        self._members_sent_until = float('-inf')

    def exchange(self):
        """Send the records that the other aggregator lacks."""
        now = clocks.now()
        # One that may have lost what it knew also lacks what it told of.
        receiver_id = '' if self._position is None else self._vm_id
        message, next_position = self._gossip.make_message(
            ttypes.SenderRole.AGGREGATOR, self._position, receiver_id
        )
        self._add_refreshed_endpoints(message)
        message.records.announcements += self._gossip.announcements_of_members(
            self._members_sent_until
        )
        try:
            reply = self._call(self._link, message, bool(self._incarnation))
        except errors.LinkFailed as error:
            self.period = self._silent_period()
            self._note_failure(error)
            return
        self._note_reply(reply)
        self.period = self._gossip.mesh_period
        self._position = next_position
        self._members_sent_until = now
        self._vm_id = reply.vm.vm_id
        if self._incarnation and self._may_lack_records(reply, now):
            self._position = None
            self._is_woken = True
        self._incarnation = reply.vm.incarnation
        self._answered_at = now
        self._gossip.merge_reply(reply)

    def _may_lack_records(self, reply, now):
        """Tell whether the other VM has lost what it was sent.

        It was restarted, or has forgotten VMs that it had not heard of.
        """
        if reply.vm.incarnation != self._incarnation:
            return True
        return now - self._answered_at > directories.VM_NEWS_AGAIN_SECONDS

    def _silent_period(self):
        """Return the seconds until a VM that has not answered is asked again.

        One that has never answered may be about to start, as this VM was.
        """
        if self._incarnation:
            return SILENT_PERIOD_SECONDS
        return min(SILENT_PERIOD_SECONDS, self._first_connect_seconds)


class MemberNotifier(threading.Thread):
    """Tells the members of this VM's group that there is news.

    Each member then asks for it, before its period ends.
    """

    def __init__(self, gossip, directory, links):
        super().__init__(name='gossip-notifier', daemon=True)
        self._gossip = gossip
        self._directory = directory
        self._links = links
        self._has_news = threading.Event()
        self._calls = concurrent.futures.ThreadPoolExecutor(
            NOTIFIER_THREADS, thread_name_prefix='notify'
        )

    def run(self):
        """Notify all members each time there is news, until stopped."""
        while not self._gossip.is_stopped:
            self._has_news.wait()
            self._has_news.clear()
            message = self._gossip.make_notification()
            for vm in self._directory.members():
                self._calls.submit(self._notify, vm.link_address, message)
            time.sleep(MIN_PAUSE_SECONDS)
        self._calls.shutdown(wait=False, cancel_futures=True)

    def wake(self):
        """Notify the members now."""
        self._has_news.set()

    def _notify(self, address, message):
        try:
            self._links.to(address).call('gossip', message, NOTIFY_SECONDS)
        except errors.LinkFailed as error:
            # The member asks by itself at the end of its period.
            events.emit(events.VM_SILENT, reason=error.detail)
