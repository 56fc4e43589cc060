"""A leader's records on other members and on pending proposals."""

import threading


class Progress:
    """Replication progress of another member.

    Attributes:
        next_index: index of the next entry to send.
        match_index: highest index up to which the member's durable log
            is known to match the leader's.
        acked_at: monotonic time in seconds at which the leader sent the
            latest message that the member has answered.
    """

    def __init__(self, next_index):
        self.next_index = next_index
        self.match_index = 0
        self.acked_at = 0.0


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
