"""Fleet membership: VMs, endpoints and the links between VMs."""
