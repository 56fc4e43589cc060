"""What the verbs of operators have in common."""


class Verbs:
    """Verbs that read a daemon's state and commit changes of it.

    Arguments of verbs named ``message`` are requests of ``messages``, and
    ``operator`` is the name of the authenticated operator.
    """

    def __init__(self, context, changes):
        """Create the verbs.

        Args:
            context: the daemon's ``PorcelainContext``.
            changes: the ``Changes`` that commits them.
        """
        self._context = context
        self._changes = changes
