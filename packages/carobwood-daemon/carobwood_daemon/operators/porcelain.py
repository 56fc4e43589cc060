"""The operations of the operators' API: one method for each verb."""

from . import changes
from . import document_verbs
from . import endpoint_verbs
from . import key_verbs
from . import vm_verbs


class Porcelain:
    """The verbs of operators and endpoints on this VM.

    Attributes:
        documents: the ``DocumentVerbs``.
        keys: the ``KeyVerbs``.
        endpoints: the ``EndpointVerbs``.
        vms: the ``VmVerbs``.
    """

    def __init__(self, context):
        """Create the porcelain.

        Args:
            context: the daemon's ``PorcelainContext``.
        """
        committed = changes.Changes(context.proposer)
        self.documents = document_verbs.DocumentVerbs(context, committed)
        self.keys = key_verbs.KeyVerbs(context, committed)
        self.endpoints = endpoint_verbs.EndpointVerbs(context, committed)
        self.vms = vm_verbs.VmVerbs(context, committed)
