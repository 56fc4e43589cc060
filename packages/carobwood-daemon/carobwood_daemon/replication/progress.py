"""What a leader knows of members and of waiting proposals."""

import threading


class Progress:
    """How far a member holds the leader's log.

    Attributes:
        next_index: index of the next entry to send.
        match_index: highest index known to be durable there.
        acked_at: when the last answered message was sent, monotonic.
    """

    def __init__(self, next_index):
        self.next_index = next_index
        self.match_index = 0
        self.acked_at = 0.0


class Proposal:
    """An entry that waits to be applied.

    Attributes:
        term: term in which it was appended.
        result: encoded result, or None if its fate is unknown.
        done: set once the fate is decided or lost.
    """

    def __init__(self, term):
        self.term = term
        self.result = None
        self.done = threading.Event()
