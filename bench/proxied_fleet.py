"""A fleet whose links and engines can be put behind fault proxies."""

import fault_proxy
import fleet as fleets

VM_ADDRESS_PREFIX = '127.0.1.'


class ProxiedFleet(fleets.Fleet):
    """A fleet with a fault proxy in front of each VM's link listener.

    Each VM has a loopback address of its own, so that a proxy can tell
    by the source address which VM connects.

    Attributes:
        proxies_by_id: ``FaultProxy`` by VM ID, and by engine ID for
            proxied engines.
    """

    def __init__(self, folder=None):
        super().__init__(folder)
        self.proxies_by_id = {}

    def __exit__(self, *exception):
        super().__exit__(*exception)
        for proxy in self.proxies_by_id.values():
            proxy.close()

    def plan_vm(self, vm_id, data_centre, has_disk=True, **flags):
        """Plan a VM with its own loopback address and a proxy for its link.

        Args:
            vm_id: ID of the VM.
            data_centre: data centre of the VM.
            has_disk: whether the VM gets a data folder.
            **flags: further flags of ``carobwoodd``, with underscores.

        Returns:
            The ``Vm``.
        """
        port = fleets.free_port()
        host = f'{VM_ADDRESS_PREFIX}{len(self.vms_by_id) + 1}'
        link = f'{host}:{port}'
        proxy = fault_proxy.FaultProxy(link)
        self.proxies_by_id[vm_id] = proxy
        flags.setdefault('vm_slots', 1)
        vm = super().plan_vm(
            vm_id,
            data_centre,
            has_disk,
            link_advertise=proxy.address,
            **flags,
        )
        vm.link_address = link
        return vm

    def partition(self, groups, fault=fault_proxy.Fault.RESET):
        """Apply a fault to all links between different groups of VMs.

        Args:
            groups: collections of VM IDs. VMs in none of them form one
                further group.
            fault: the ``Fault`` to apply.
        """
        rule = fault_proxy.FaultRule(fault)
        for target in self.vms_by_id:
            for source in self.vms_by_id:
                is_separated = _group_of(groups, source) != _group_of(
                    groups, target
                )
                if source != target and is_separated:
                    self.set_link_rule(source, target, rule)

    def set_link_rule(self, source, target, rule):
        """Set the rule for connections opened by one VM to another."""
        host = self.vms_by_id[source].link_address.rpartition(':')[0]
        self.proxies_by_id[target].set_rule(rule, host)

    def heal(self):
        """Remove all faults from the links between VMs."""
        for target in self.vms_by_id:
            for source in self.vms_by_id:
                self.set_link_rule(source, target, fault_proxy.FaultRule())

    def start_proxied_engine(self, engine_id, data_centre='bole', **flags):
        """Start an engine that announces the address of a fault proxy."""
        port = fleets.free_port()
        proxy = fault_proxy.FaultProxy(f'127.0.0.1:{port}')
        self.proxies_by_id[engine_id] = proxy
        flags.update(port=port, advertise=proxy.address)
        self.start_engine(engine_id, data_centre, **flags)


def _group_of(groups, vm_id):
    for number, group in enumerate(groups):
        if vm_id in group:
            return number
    return -1
