"""Errors of replicas, of their disks and of links between VMs."""

from . import base_errors


class NotLeader(base_errors.CarobwoodError):
    """The replica is not the Raft leader.

    Attributes:
        leader_address: link address of the leader, or an empty string.
    """

    code = 'not_leader'
    status = 503

    def __init__(self, leader_address):
        super().__init__(f'the leader is {leader_address or "unknown"}')
        self.leader_address = leader_address


class LogDamaged(base_errors.CarobwoodError):
    """A stored record is damaged: in a snapshot or not at the log's end.

    A damaged record at the end of the log is an incomplete write, which
    is truncated instead.
    """

    code = 'log_damaged'


class DataFolderInUse(base_errors.CarobwoodError):
    """Another process has locked the data folder."""

    code = 'data_folder_in_use'


class DiskWriteFailed(base_errors.CarobwoodError):
    """A write to the data folder failed, for instance on a full disk."""

    code = 'disk_write_failed'
    status = 503


class DiskWriteUncertain(DiskWriteFailed):
    """A file was replaced, but a loss of power may bring the old one back.

    Until its folder is synced a later start may read either.
    """

    code = 'disk_write_uncertain'


class LinkFailed(base_errors.CarobwoodError):
    """A call to another VM failed."""

    code = 'link_failed'
    status = 503


class LinkRefused(LinkFailed):
    """The link was rejected, for instance because its handshake failed."""

    code = 'link_refused'


class ForwardedRequestFailed(base_errors.CarobwoodError):
    """The VM that a request was forwarded to has answered with an error."""

    code = 'forwarded_request_failed'
    status = 502

    def __init__(
        self,
        detail,
        status=502,
        outcome=base_errors.Outcome.UNKNOWN,
        retry_after=None,
    ):
        super().__init__(detail, retry_after)
        self.status = status
        self.outcome = outcome
