"""The proposals of a leader whose entries are not applied yet."""

import threading

from . import commands


class Proposal:
    """A proposed entry whose result a caller waits for.

    Attributes:
        term: term in which the entry was appended.
        result: encoded result, or None if it is unknown whether the
            entry is applied.
        done: set when the entry is applied, or when another entry may
            have replaced it because this replica lost leadership.
    """

    def __init__(self, term):
        self.term = term
        self.result = None
        self.done = threading.Event()

    def resolve(self, entry, result):
        """Set the result once the entry at the proposal's index is applied.

        An entry of another term than the proposal's has replaced the
        proposed one, so the proposal gets no result.

        Args:
            entry: the applied ``Entry``.
            result: its result; None for a command that could not be
                applied.
        """
        if self.term == entry.term and result is not None:
            self.result = commands.encode(result)
        self.done.set()


class PendingProposals:
    """The pending proposals of a replica by the index of their entry.

    It is not thread-safe.
    """

    def __init__(self):
        self._proposals_by_index = {}

    def add(self, entry):
        """Return the new ``Proposal`` of an appended ``Entry``."""
        proposal = Proposal(entry.term)
        self._proposals_by_index[entry.index] = proposal
        return proposal

    def take(self, entries):
        """Remove and return the proposals at the indexes of entries.

        Returns:
            For each of them the ``Proposal``, or None.
        """
        return [
            self._proposals_by_index.pop(entry.index, None)
            for entry in entries
        ]

    def abandon(self):
        """End all of them without a result."""
        for proposal in self._proposals_by_index.values():
            proposal.done.set()
        self._proposals_by_index = {}
