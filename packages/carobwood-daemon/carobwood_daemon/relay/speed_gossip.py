"""Topic of gossip messages for the learned speeds of engines.

Members report their own samples and get the sums over all VMs. Not every
message carries them: speeds change in seconds, and messages are sent
several times a second. Builds that do not know them pass over them.
"""

import random
import threading

from carobwood import clocks
from carobwood.gen.links import ttypes

from . import engine_speeds
from . import fleet_loads

# Least time between two replies to a member that carry speeds.
REPLY_PERIOD_SECONDS = 2.0
# Share of the messages that carry speeds; which ones is drawn, since the
# receiver of a message is not known here.
MESSAGE_SHARE = 0.25
# Weights are sent as integers of this part of a sample.
PARTS_PER_SAMPLE = 100


class SpeedGossipTopic:
    """Topic of gossip messages for the samples of engines' speeds."""

    def __init__(self, speeds, clock=clocks.now, source=random):
        """Create the topic.

        Args:
            speeds: the ``EngineSpeeds``.
            clock: function that returns the monotonic time in seconds.
            source: random source.
        """
        self._speeds = speeds
        self._clock = clock
        self._random = source
        self._lock = threading.Lock()
        self._replied_at_by_member = {}

    def add_report(self, message):
        """Add this VM's samples, or its group's, to some messages."""
        if self._random.random() < MESSAGE_SHARE:
            message.speeds = _to_thrift(self._speeds.group_samples())

    def merge_member(self, message):
        """Merge the report of a member; no other VM must know at once."""
        self._merge(message.vm.vm_id, message.speeds, is_from_member=True)
        return False

    def merge_group(self, message):
        """Merge the report of another aggregator; see ``merge_member``."""
        self._merge(message.vm.vm_id, message.speeds)
        return False

    def add_summary(self, reply, message):
        """Add the sums over all VMs to some of the replies to a member."""
        if self._is_reply_due(message.vm.vm_id):
            reply.speeds = _to_thrift(self._speeds.fleet_samples())

    def merge_summary(self, message, reply):
        """Merge the reply of the aggregator that this VM is a member of."""
        self._merge(fleet_loads.AGGREGATOR, reply.speeds)

    def _merge(self, vm_id, entries, is_from_member=False):
        if entries is None:
            return
        self._speeds.set_report(vm_id, _from_thrift(entries), is_from_member)

    def _is_reply_due(self, member_id):
        now = self._clock()
        with self._lock:
            replied_at_by_member = {
                vm_id: replied_at
                for vm_id, replied_at in self._replied_at_by_member.items()
                if now - replied_at < REPLY_PERIOD_SECONDS
            }
            is_due = member_id not in replied_at_by_member
            if is_due:
                replied_at_by_member[member_id] = now
            self._replied_at_by_member = replied_at_by_member
        return is_due


def _to_thrift(samples_by_id):
    return [
        ttypes.SpeedNews(
            endpoint_id,
            samples.incarnation,
            {
                bucket: round(weight * PARTS_PER_SAMPLE)
                for bucket, weight in samples.weights_by_bucket.items()
            },
        )
        for endpoint_id, samples in samples_by_id.items()
    ]


def _from_thrift(entries):
    return {
        entry.endpoint_id: engine_speeds.SpeedSamples(
            entry.incarnation,
            {
                bucket: parts / PARTS_PER_SAMPLE
                for bucket, parts in entry.weights_by_bucket.items()
                if 0 <= bucket <= engine_speeds.LAST_BUCKET and parts > 0
            },
        )
        for entry in entries
    }
