"""A fleet whose links and endpoints pass through fault proxies."""

import fault_proxy
import fleet as fleets

VM_NETWORK = '127.0.1.'


class ProxiedFleet(fleets.Fleet):
    """Processes behind proxies that cut, delay, reset or go silent.

    Attributes:
        proxies_by_id: proxies before VMs' links and before endpoints.
    """

    def __init__(self, folder=None):
        super().__init__(folder)
        self.proxies_by_id = {}

    def __exit__(self, *exception):
        super().__exit__(*exception)
        for proxy in self.proxies_by_id.values():
            proxy.close()

    def plan_vm(self, vm_id, data_centre, has_disk=True, **flags):
        """Plan a VM with an address of its own and a proxy before it."""
        port = fleets.free_port()
        host = f'{VM_NETWORK}{len(self.vms_by_id) + 1}'
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
        vm.link = link
        return vm

    def cut(self, groups, fault=fault_proxy.Fault.CUT):
        """Cut the links between groups of VMs."""
        rule = fault_proxy.Rule(fault)
        for target in self.vms_by_id:
            for source in self.vms_by_id:
                apart = _group_of(groups, source) != _group_of(groups, target)
                if source != target and apart:
                    self.cut_one_way(source, target, rule)

    def cut_one_way(self, source, target, rule):
        """Set the rule from one VM to another."""
        host = self.vms_by_id[source].link.rpartition(':')[0]
        self.proxies_by_id[target].set_rule(rule, host)

    def heal(self):
        """Let all links pass again."""
        for target in self.vms_by_id:
            for source in self.vms_by_id:
                self.cut_one_way(source, target, fault_proxy.Rule())

    def proxied_engine(self, engine_id, data_centre='bole', **flags):
        """Start an engine behind a proxy of its own."""
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
