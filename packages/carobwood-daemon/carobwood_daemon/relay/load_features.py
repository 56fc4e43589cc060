"""Parts of the decisions under load that not all deployments ask for."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LoadFeatures:
    """Parts of the decisions under load that a deployment switches on.

    Attributes:
        shares_connections: VMs share the connections that endpoints accept.
        learns_engines: VMs learn the speed of each engine and interpret
            loads by their age.
        controls_admission: VMs admit requests by what the whole fleet can
            still answer on time.
    """

    shares_connections: bool = False
    learns_engines: bool = False
    controls_admission: bool = False
