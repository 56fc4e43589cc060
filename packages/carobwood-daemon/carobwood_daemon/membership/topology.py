"""Which VMs exchange gossip, so that the cost of a VM stays bounded.

Load pattern: hundreds of VMs that must know of each other's load, while the
links and the processor of each are small.

Aggregators are a few VMs of each data centre. Every other VM is a member of
one of them, preferably of its own data centre, and exchanges messages with
that one only. Aggregators exchange sums over their members with each other.

VMs with a disk are preferred as aggregators, because they are few and do not
come and go. If none of them is alive, as in a data centre that is cut off,
the live VM that rendezvous hashing ranks first in each data centre
aggregates. Each VM decides by its own view of the fleet. An aggregator that
does not count itself as one refuses members, and sends them its view.
"""

import itertools

from ..routing import rendezvous

MAX_AGGREGATORS_PER_DATA_CENTRE = 2
# VMs of the own data centre that are asked if no aggregator is reachable.
MAX_FALLBACK_VMS = 3


def aggregators(vms, now):
    """Return the VMs that aggregate, in the view of one VM.

    Args:
        vms: the ``Vm`` records of all known VMs.
        now: current time in seconds.
    """
    live = [vm for vm in vms if not vm.is_silent(now)]
    with_disk = [vm for vm in live if vm.has_disk]
    limit = MAX_AGGREGATORS_PER_DATA_CENTRE if with_disk else 1
    chosen = []
    for data_centre, group in _by_data_centre(with_disk or live).items():
        ranked = rendezvous.rank(data_centre.encode('utf-8'), group)
        chosen += ranked[:limit]
    return chosen


def is_aggregator(own_vm, vms, now):
    """Return whether a VM aggregates, in its own view."""
    return any(vm.id == own_vm.id for vm in aggregators(vms, now))


def needs_no_uplink(own_vm, vms, now):
    """Return whether a VM exchanges sums with aggregators instead.

    A VM without a disk that knows no other live VM goes on looking for one.
    """
    if not is_aggregator(own_vm, vms, now):
        return False
    return own_vm.has_disk or any(
        vm.id != own_vm.id and not vm.is_silent(now) for vm in vms
    )


def uplink_addresses(own_vm, vms, seeds, now):
    """Return the addresses at which a VM asks to become a member.

    Args:
        own_vm: the ``Vm`` that asks.
        vms: the ``Vm`` records of all VMs that it knows.
        seeds: link addresses that its settings name.
        now: current time in seconds.

    Returns:
        Link addresses, the best one first: live aggregators of the own data
        centre and of others, then VMs that may be alive although they seem
        silent.
    """
    key = own_vm.id.encode('utf-8')
    others = [vm for vm in vms if vm.id != own_vm.id]
    ranked = rendezvous.rank(key, aggregators(others, now))
    ranked.sort(key=lambda vm: vm.data_centre != own_vm.data_centre)
    addresses = [vm.link_address for vm in ranked]
    silent = [vm for vm in others if vm.has_disk and vm.is_silent(now)]
    last_resorts = [vm.link_address for vm in rendezvous.rank(key, silent)]
    last_resorts += rendezvous.rank_names(key, seeds)
    neighbours = rendezvous.rank(
        own_vm.data_centre.encode('utf-8'),
        [vm for vm in others if vm.data_centre == own_vm.data_centre],
    )
    fallbacks = [vm.link_address for vm in neighbours[:MAX_FALLBACK_VMS]]
    for pair in itertools.zip_longest(last_resorts, fallbacks):
        addresses += [address for address in pair if address]
    own = own_vm.link_address
    return [address for address in dict.fromkeys(addresses) if address != own]


def contact_addresses(own_vm, vms, now):
    """Return the addresses at which an aggregator with a disk may listen.

    Args:
        own_vm: the ``Vm`` that looks for one.
        vms: the ``Vm`` records of all VMs that it knows.
        now: current time in seconds.

    Returns:
        Link addresses of VMs with a disk that aggregate or seem silent, which
        they may not be: those of the own data centre first, then in another
        order for each VM.
    """
    others = [vm for vm in vms if vm.id != own_vm.id and vm.has_disk]
    found = [vm for vm in others if vm.is_silent(now)]
    found += aggregators(others, now)
    ranked = rendezvous.rank(own_vm.id.encode('utf-8'), found)
    ranked.sort(key=lambda vm: vm.data_centre != own_vm.data_centre)
    return [vm.link_address for vm in ranked]


def mesh_addresses(own_vm, vms, seeds, now):
    """Return the addresses that an aggregator exchanges sums with.

    These are the other aggregators, and the VMs that may be some: silent VMs
    with a disk, and seeds that no known VM listens at.
    """
    others = [vm for vm in vms if vm.id != own_vm.id]
    known = {vm.link_address for vm in others}
    found = {vm.link_address for vm in aggregators(vms, now)}
    found |= {
        vm.link_address for vm in others if vm.has_disk and vm.is_silent(now)
    }
    found |= set(seeds) - known
    return sorted(found - {own_vm.link_address})


def _by_data_centre(vms):
    groups = {}
    for vm in vms:
        groups.setdefault(vm.data_centre, []).append(vm)
    return groups
