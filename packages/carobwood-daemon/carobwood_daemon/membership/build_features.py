"""Parts of the product that VMs of older builds may not know.

A command of the replicated log that a VM does not know has no effect on its
state, so that it is proposed only while all VMs that count know it.
"""

from carobwood import errors

ROLLOUTS = 'rollouts'
# What this build knows beyond every build of protocol version 5.
OWN_FEATURES = frozenset((ROLLOUTS,))


def require(feature, vms, member_vm_ids, now):
    """Raise unless all VMs that count know a feature.

    Those are the VMs that are not silent, and silent ones with a replica of
    the log, which get its commands when they return.

    Args:
        feature: name of the feature.
        vms: the ``Vm`` records of all known VMs.
        member_vm_ids: ids of the VMs with a replica that is a member of the
            replicated log.
        now: current time by ``clocks.now``, in seconds.

    Raises:
        FeatureMissing: with the VMs whose build lacks the feature.
    """
    lacking = sorted(
        vm.id
        for vm in vms
        if feature not in vm.features
        and (vm.id in member_vm_ids or not vm.is_silent(now))
    )
    if lacking:
        raise errors.FeatureMissing(feature, lacking)
