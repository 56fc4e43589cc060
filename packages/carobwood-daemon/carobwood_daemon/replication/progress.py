"""A leader's record on another member."""


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
