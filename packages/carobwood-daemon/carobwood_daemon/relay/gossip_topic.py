"""The relay's part of the gossip messages between VMs."""

import threading

from carobwood import clocks
from carobwood.gen.links import ttypes

from . import fleet_loads
from . import quota

# Seconds without a gossip message after which a VM no longer counts as an
# entry VM.
ENTRY_VM_TIMEOUT_SECONDS = 5.0


class RelayGossipTopic:
    """Gossip topic for endpoint loads, customers' usage and weights.

    Entry VMs send the loads that they put on endpoints and the usage that
    they have admitted. The other VMs send the last usage reports of entry
    VMs that seem to have stopped.
    """

    def __init__(
        self,
        loads,
        fleet_quota,
        past_usage_table,
        weights,
        takes_callers,
        on_loads_merged,
    ):
        """Create the topic.

        Args:
            loads: the ``FleetLoads``.
            fleet_quota: the ``FleetQuota``.
            past_usage_table: the ``PastUsageTable``.
            weights: the ``EngineWeights``.
            takes_callers: whether this VM is an entry VM.
            on_loads_merged: called without arguments after the loads of
                another VM have been merged.
        """
        self._loads = loads
        self._fleet_quota = fleet_quota
        self._past_usage_table = past_usage_table
        self._weights = weights
        self._takes_callers = takes_callers
        self._on_loads_merged = on_loads_merged
        self._lock = threading.Lock()
        self._received_at_by_entry_vm = {}

    def entry_vm_ids(self):
        """Return the ids of the other entry VMs that sent recently."""
        oldest = clocks.now() - ENTRY_VM_TIMEOUT_SECONDS
        with self._lock:
            items = list(self._received_at_by_entry_vm.items())
        return [vm_id for vm_id, received_at in items if received_at > oldest]

    def entry_vm_count(self):
        """Return the number of live entry VMs, this VM included."""
        return int(self._takes_callers) + len(self.entry_vm_ids())

    def add_to_message(self, message, is_reply):
        """Add this VM's payload to a gossip message.

        Args:
            message: the ``GossipMessage`` to fill in.
            is_reply: whether the message answers another VM's message.
                Replies only state whether this VM takes callers.
        """
        message.takes_callers = self._takes_callers
        if is_reply:
            return
        message.weights = [
            ttypes.WeightsNews(
                endpoint_id,
                state.incarnation,
                *state.report_number,
                state.version,
                state.loading_until > clocks.now(),
            )
            for endpoint_id, state in self._weights.states()
            if state.report_number != (0, 0)
        ]
        if not self._takes_callers:
            message.past_spending = self._describe_past_usage()
            return
        message.loads = [
            ttypes.LoadNews(
                endpoint_id,
                load.running,
                load.kv_cache_tokens,
                load.prefill_tokens,
                load.streams,
            )
            for endpoint_id, load in self._loads.local_loads().items()
        ]
        message.spending = [
            ttypes.SpendingNews(
                customer,
                usage.total,
                usage.recent,
                list(usage.units_by_second),
            )
            for customer, usage in self._fleet_quota.usage().items()
        ]

    def _describe_past_usage(self):
        now = clocks.now()
        return [
            ttypes.PastSpendingNews(
                record.vm_id,
                record.incarnation,
                int(1000 * (now - record.reported_at)),
                {
                    customer: list(units)
                    for customer, units in record.units_by_customer.items()
                },
            )
            for record in self._past_usage_table.stopped()
        ]

    def merge_message(self, message):
        """Merge the payload of another VM's gossip message.

        Args:
            message: the ``GossipMessage``. Only entry VMs set its
                ``loads``.
        """
        for entry in message.weights or ():
            self._weights.record_report(
                entry.endpoint_id,
                entry.incarnation,
                (entry.term, entry.number),
                entry.weights_version,
                entry.loading,
            )
        for entry in message.past_spending or ():
            self._fleet_quota.merge_past_usage(
                entry.vm_id,
                entry.incarnation,
                entry.age_ms / 1000,
                entry.seconds_by_customer,
            )
        if message.loads is None:
            return
        self._past_usage_table.add_report(
            message.vm.vm_id,
            message.vm.incarnation,
            {
                entry.customer: tuple(entry.by_second or ())
                for entry in message.spending or ()
            },
        )
        vm_id = message.vm.vm_id
        with self._lock:
            self._received_at_by_entry_vm[vm_id] = clocks.now()
        self._loads.set_peer_loads(
            vm_id,
            {
                entry.endpoint_id: fleet_loads.Load(
                    entry.running,
                    entry.memory_tokens,
                    entry.unread_tokens,
                    entry.streams,
                )
                for entry in message.loads or ()
            },
        )
        self._fleet_quota.merge_usage(
            vm_id,
            message.vm.incarnation,
            {
                entry.customer: quota.Usage(entry.total, entry.recent)
                for entry in message.spending or ()
            },
        )
        self._on_loads_merged()
