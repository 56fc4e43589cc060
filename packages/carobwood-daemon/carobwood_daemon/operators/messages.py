"""Typed messages of the operators' interface, sent as JSON."""

from typing import Literal

import msgspec


class DocumentText(msgspec.Struct, frozen=True):
    """A document to check or to compare."""

    environment: str
    text: str


class ApplyDocument(msgspec.Struct, frozen=True):
    """A document to put in force."""

    environment: str
    text: str
    operation_id: str
    expected_version: int


class PromoteDocument(msgspec.Struct, frozen=True):
    """A tried document to put in force elsewhere."""

    source: str
    target: str
    digest: str
    operation_id: str
    expected_version: int


class IssueKey(msgspec.Struct, frozen=True):
    """A key to issue; the client keeps the secret to itself."""

    environment: str
    customer: str
    digest: str
    operation_id: str


class WithdrawKey(msgspec.Struct, frozen=True):
    """A key to withdraw, by its id or its whole digest."""

    key: str


class DrainEndpoint(msgspec.Struct, frozen=True):
    """An endpoint to drain or to use again."""

    endpoint_id: str
    drained: bool
    operation_id: str


class PlaceOrder(msgspec.Struct, frozen=True):
    """An order to an engine."""

    endpoint_id: str
    kind: Literal['load-weights', 'load-adapter', 'set-role']
    argument: str
    operation_id: str


class OrderInfo(msgspec.Struct, frozen=True):
    """An order and what became of it."""

    fencing_number: int
    endpoint_id: str
    kind: str
    argument: str
    operator: str
    state: str
    detail: str


class ReplaceVm(msgspec.Struct, frozen=True):
    """A voter to replace by another VM's replica."""

    old_vm_id: str
    new_vm_id: str
    timeout_seconds: float = 30.0


class ForgetVm(msgspec.Struct, frozen=True):
    """A VM that will not return."""

    vm_id: str
    operation_id: str


class Announcement(msgspec.Struct, frozen=True):
    """What an endpoint says of itself, about once a second."""

    endpoint_id: str
    incarnation: int
    sequence: int
    address: str
    data_centre: str
    pool: str
    environment: str = 'production'
    weights_version: str = ''
    leaving: bool = False
    running: int = 0
    waiting: int = 0


class DocumentInfo(msgspec.Struct, frozen=True):
    """A document version, with its text where asked for."""

    environment: str
    version: int
    digest: str
    operator: str
    promoted_from: str
    text: str = ''


class Change(msgspec.Struct, frozen=True):
    """A committed change.

    Attributes:
        version: state version that every VM has to reach.
        document_version: new version of the document, if one changed.
    """

    version: int
    document_version: int = 0


class VmInfo(msgspec.Struct, frozen=True):
    """A VM as this VM sees it."""

    vm_id: str
    data_centre: str
    operator_address: str
    registered: bool
    alive: bool
    version: int
    replica: str


class EndpointInfo(msgspec.Struct, frozen=True):
    """An endpoint as this VM sees it."""

    endpoint_id: str
    pool: str
    environment: str
    address: str
    data_centre: str
    incarnation: int
    weights_version: str
    state: str
    running: int
    waiting: int


class KeyInfo(msgspec.Struct, frozen=True):
    """A key without its secret."""

    key_id: str
    environment: str
    customer: str
    withdrawn: bool


class CustomerInfo(msgspec.Struct, frozen=True):
    """A customer and its contract."""

    customer: str
    rate_tokens_per_second: float
    burst_tokens: float
    offline_grace_seconds: float
    keys: int


class Confirmation(msgspec.Struct, frozen=True):
    """Whether a data centre's VMs have taken a withdrawal over."""

    data_centre: str
    confirmed: tuple[str, ...]
    unconfirmed: tuple[str, ...]


class Withdrawal(msgspec.Struct, frozen=True):
    """A withdrawal as it spread."""

    key_id: str
    committed: bool
    data_centres: tuple[Confirmation, ...]


class StatusInfo(msgspec.Struct, frozen=True):
    """A VM's view of the fleet."""

    vm_id: str
    fleet_id: str
    version: int
    ready: bool
    requests_in_flight: int
    link_bytes_sent: int
    link_bytes_received: int
    contact_age_seconds: float
    role: str
    term: int
    leader_address: str
    commit_index: int
    log_entries: int
    claims: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    documents: tuple[DocumentInfo, ...]
    vms: tuple[VmInfo, ...]
