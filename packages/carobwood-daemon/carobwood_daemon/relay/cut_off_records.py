"""Converts for gossip which VMs reach no endpoint."""

from carobwood.gen.links import ttypes

from ..membership import gossip_records

from . import forwarding_peers


class CutOffRecords(gossip_records.RecordSource):
    """Record source for VMs that reach no endpoint, by VM id."""

    field = 'cut_off_vms'
    is_urgent = True

    def __init__(self, peers):
        """Create the source; ``peers`` is ``ForwardingPeers``."""
        self._peers = peers

    def on_change(self, listener):
        """See ``RecordSource``."""
        self._peers.on_change(listener)

    def to_thrift(self, record_id):
        """Return the thrift record of a VM, or None if there is none."""
        state = self._peers.find_state(record_id)
        if state is None:
            return None
        return ttypes.CutOffNews(
            record_id, state.incarnation, state.number, state.is_cut_off
        )

    def merge(self, records):
        """Merge thrift records that another VM sent."""
        for record in records:
            self._peers.merge(
                record.vm_id,
                forwarding_peers.CutOffState(
                    record.incarnation, record.number, record.cut_off
                ),
            )
