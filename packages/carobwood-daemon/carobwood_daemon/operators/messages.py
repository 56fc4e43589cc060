"""Request and response bodies of the operators' API, sent as JSON."""

from typing import Literal

import msgspec


class DocumentText(msgspec.Struct, frozen=True):
    """A document to check, or to compare with the one in force.

    Attributes:
        environment: environment that the document must name.
        text: the document in YAML.
    """

    environment: str
    text: str


class ApplyDocument(msgspec.Struct, frozen=True):
    """A document to put in force.

    Attributes:
        environment: environment that the document must name.
        text: the document in YAML.
        operation_id: a request resent under the same id returns the first
            result.
        expected_version: version of the document that this one replaces;
            the request fails if another version is in force.
    """

    environment: str
    text: str
    operation_id: str
    expected_version: int


class PromoteDocument(msgspec.Struct, frozen=True):
    """A document to copy from one environment to another.

    Attributes:
        source: environment whose current document is copied.
        target: environment that the document is put in force in.
        digest: digest that the source document must have.
        operation_id: a request resent under the same id returns the first
            result.
        expected_version: version of the target's document that is
            replaced; the request fails if another version is in force.
    """

    source: str
    target: str
    digest: str
    operation_id: str
    expected_version: int


class IssueKey(msgspec.Struct, frozen=True):
    """A key to issue.

    The client generates the secret and sends only its digest.
    """

    environment: str
    customer: str
    digest: str
    operation_id: str


class WithdrawKey(msgspec.Struct, frozen=True):
    """A key to withdraw.

    Attributes:
        key: id of the key, or its whole digest in hexadecimal.
    """

    key: str


class DrainEndpoint(msgspec.Struct, frozen=True):
    """An endpoint to drain, or to return to service.

    Attributes:
        endpoint_id: the endpoint.
        drained: whether new requests are kept from it.
        operation_id: a request resent under the same id returns the first
            result.
    """

    endpoint_id: str
    drained: bool
    operation_id: str


class PlaceOrder(msgspec.Struct, frozen=True):
    """An order to an inference engine.

    Attributes:
        endpoint_id: the engine.
        kind: what the engine has to do.
        argument: weights version, adapter or role.
        operation_id: a request resent under the same id returns the first
            result.
    """

    endpoint_id: str
    kind: Literal['load-weights', 'load-adapter', 'set-role']
    argument: str
    operation_id: str


class OrderInfo(msgspec.Struct, frozen=True):
    """An order to an engine and its state.

    Attributes:
        fencing_number: log index of the order, which an engine uses to
            reject orders older than the last one that it took.
        endpoint_id: the engine.
        kind: ``load-weights``, ``load-adapter`` or ``set-role``.
        argument: weights version, adapter or role.
        operator: name of the operator who placed the order.
        state: ``pending``, ``done`` or ``refused``.
        detail: explanation of the state, or empty.
    """

    fencing_number: int
    endpoint_id: str
    kind: str
    argument: str
    operator: str
    state: str
    detail: str


class ReplaceVm(msgspec.Struct, frozen=True):
    """A voter to replace by another VM's replica.

    Attributes:
        old_vm_id: VM whose replica stops being a voter.
        new_vm_id: VM whose replica becomes a voter.
        timeout_seconds: time to wait for the replacement.
    """

    old_vm_id: str
    new_vm_id: str
    timeout_seconds: float = 30.0


class ForgetVm(msgspec.Struct, frozen=True):
    """A VM to remove from the fleet's state for good."""

    vm_id: str
    operation_id: str


class Announcement(msgspec.Struct, frozen=True):
    """The announcement that an endpoint sends about once a second.

    Attributes:
        endpoint_id: id of the endpoint, unique in the fleet.
        incarnation: number that increases with each start of the endpoint.
        sequence: number that increases with each announcement of an
            incarnation.
        address: ``IP:PORT`` that serves requests.
        data_centre: data centre of the endpoint.
        pool: pool that the endpoint belongs to.
        environment: environment that the endpoint serves.
        weights_version: version of the loaded weights; empty for plain
            services.
        leaving: whether the endpoint is shutting down.
        running: number of requests that it executes.
        waiting: number of requests in its own queue.
    """

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
    """A version of an environment's document.

    Attributes:
        environment: environment of the document.
        version: number of the version; 0 for a document that was only
            checked.
        digest: digest of the text.
        operator: name of the operator who put it in force.
        promoted_from: environment that it was promoted from, or empty.
        text: the document in YAML; empty in lists.
    """

    environment: str
    version: int
    digest: str
    operator: str
    promoted_from: str
    text: str = ''


class Change(msgspec.Struct, frozen=True):
    """A committed change, or the answer to an announcement.

    Attributes:
        version: version of the fleet's state that contains the change;
            after an announcement, the version that the VM holds.
        document_version: new version of the document; 0 if no document
            changed.
    """

    version: int
    document_version: int = 0


class VmInfo(msgspec.Struct, frozen=True):
    """A VM as known to the answering VM.

    Attributes:
        vm_id: id of the VM.
        data_centre: data centre of the VM.
        operator_address: address of its operators' API; empty if the
            answering VM has not heard of it by gossip.
        registered: whether the fleet's state contains the VM.
        alive: whether gossip from it has arrived lately.
        version: latest known version of its copy of the fleet's state.
        replica: ``leader``, ``voter``, ``learner`` or empty.
    """

    vm_id: str
    data_centre: str
    operator_address: str
    registered: bool
    alive: bool
    version: int
    replica: str


class EndpointInfo(msgspec.Struct, frozen=True):
    """An endpoint as known to the answering VM.

    The fields that ``Announcement`` has too are from its last
    announcement.

    Attributes:
        state: ``serving``, ``drained`` or ``leaving``.
    """

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
    """A customer and its rate limit.

    Attributes:
        customer: id of the customer.
        rate_tokens_per_second: rate at which its token bucket fills.
        burst_tokens: capacity of its token bucket.
        offline_grace_seconds: time for which a VM that has lost contact
            with the leader still accepts the customer's keys.
        keys: number of its keys without a committed withdrawal.
    """

    customer: str
    rate_tokens_per_second: float
    burst_tokens: float
    offline_grace_seconds: float
    keys: int


class Confirmation(msgspec.Struct, frozen=True):
    """VMs of a data centre that apply a withdrawal, and those that may not.

    Attributes:
        data_centre: the data centre.
        confirmed: ids of the VMs that have confirmed the withdrawal.
        unconfirmed: ids of the VMs that have not done so in time.
    """

    data_centre: str
    confirmed: tuple[str, ...]
    unconfirmed: tuple[str, ...]


class Withdrawal(msgspec.Struct, frozen=True):
    """Result of withdrawing a key.

    Attributes:
        key_id: id of the key.
        committed: whether the withdrawal is committed to the replicated
            log; if not, it is committed later.
        data_centres: confirmations by data centre.
    """

    key_id: str
    committed: bool
    data_centres: tuple[Confirmation, ...]


class StatusInfo(msgspec.Struct, frozen=True):
    """State of a VM and of the fleet as known to it.

    Attributes:
        vm_id: id of the answering VM.
        fleet_id: id of the fleet; empty if the VM holds no replica.
        version: version of its copy of the fleet's state.
        ready: whether it reports ready to the load balancer.
        requests_in_flight: number of callers' requests being served.
        link_bytes_sent: bytes sent to other VMs since the start.
        link_bytes_received: bytes received from other VMs since the start.
        contact_age_seconds: time since the last contact with the leader;
            -1 if there was none.
        role: role of the local replica, ``none`` without one.
        term: Raft term of the local replica.
        leader_address: link address of the known leader, or empty.
        commit_index: index of the last committed log entry.
        log_entries: number of entries in the local log.
        claims: number of idempotency claims that the replica holds.
        voters: ids of the VMs whose replicas vote.
        learners: ids of the VMs whose replicas only receive the log.
        documents: current document of each environment, without text.
        vms: all known VMs.
    """

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
