// Messages between carobwood's own processes. Times are sent as ages or
// durations in milliseconds, because the clocks of two VMs are not
// comparable. Votes, log entries and snapshots are those of Raft.
namespace py links

struct VmDescriptor {
  1: required string vm_id
  2: required string data_centre
  3: required string link_address
  4: required string operator_address
  5: required i64 incarnation
  6: bool has_disk
}

struct LogEntry {
  1: required i64 index
  2: required i64 term
  3: required binary payload
}

struct VoteRequest {
  1: required string fleet_id
  2: required i64 term
  3: required string candidate_id
  4: required i64 last_index
  5: required i64 last_term
  6: required bool pre_vote
  7: required bool transfer
  // Id of the replica that is addressed. Another replica that listens at
  // the same address must not answer.
  8: string target_id
}

struct VoteReply {
  1: required i64 term
  2: required bool granted
}

struct AppendRequest {
  1: required string fleet_id
  2: required i64 term
  3: required string leader_id
  4: required string leader_address
  5: required i64 previous_index
  6: required i64 previous_term
  7: required list<LogEntry> entries
  8: required i64 commit_index
  9: string target_id
}

struct AppendReply {
  1: required i64 term
  2: required bool success
  3: required i64 last_index
}

struct SnapshotRequest {
  1: required string fleet_id
  2: required i64 term
  3: required string leader_id
  4: required i64 last_index
  5: required i64 last_term
  6: required i64 offset
  7: required binary data
  8: required bool done
  9: string target_id
}

struct SnapshotReply {
  1: required i64 term
  2: required i64 next_offset
}

struct TransferRequest {
  1: required string fleet_id
  2: required i64 term
}

struct ProposeRequest {
  1: required list<binary> payloads
  2: required i32 timeout_ms
}

enum ProposeStatus {
  COMMITTED = 1
  NOT_LEADER = 2
  UNCERTAIN = 3
}

struct ProposeReply {
  1: required ProposeStatus status
  2: list<binary> results
  3: string leader_address
}

struct JoinRequest {
  1: required string replica_id
  2: required VmDescriptor vm
}

struct JoinReply {
  1: required bool accepted
  2: string fleet_id
  3: string leader_address
}

struct ReplaceRequest {
  1: required string old_vm_id
  2: required string new_vm_id
  3: required i32 timeout_ms
}

struct ReplaceReply {
  1: required ProposeStatus status
  2: string problem
  3: string leader_address
}

struct VersionedCommand {
  1: required i64 version
  2: required binary payload
}

struct FollowRequest {
  1: required i64 after_version
  2: required i32 wait_ms
}

struct FollowReply {
  1: required string fleet_id
  2: required i64 version
  3: required list<VersionedCommand> commands
  4: binary snapshot
  // Time since the sender, or the VM that it polls, had contact with a
  // leader; -1 if it never had.
  5: required i64 contact_age_ms
}

struct Announcement {
  1: required string endpoint_id
  2: required i64 incarnation
  3: required i64 sequence
  4: required string address
  5: required string data_centre
  6: required string pool
  7: required string environment
  8: string weights_version
  9: required bool leaving
  10: required i32 running
  11: required i32 waiting
  12: required i32 age_ms
}

struct LendRequest {
  1: required string customer_id
  2: required double tokens
}

struct LendReply {
  1: required double tokens
}

// Records that a request, identified by its fingerprint, was in flight on an
// endpoint when the endpoint crashed. The crash is identified by the id and
// the incarnation of the endpoint.
struct Strike {
  1: required string fingerprint
  2: required string crash
  3: required i32 age_ms
}

// Acquires or releases the exclusive lock of an endpoint, which a request
// with a strike must hold to run there. The holder names the run.
struct ApartRequest {
  1: required string endpoint_id
  2: required string holder
  3: required bool release
  4: list<Strike> strikes
}

struct ApartReply {
  1: required bool granted
  2: required list<Strike> strikes
}

// Hashes of pieces of prompts that an endpoint's prefix cache is assumed to
// hold, because a VM sent them there, or no longer to hold (removed).
struct PlacementNews {
  1: required string endpoint_id
  2: required i64 incarnation
  3: required binary pieces
  4: required i32 age_ms
  5: bool removed
}

// State of an engine's weights, as reported by the VM that sends orders to
// engines. The report with the greatest (term, number) is the newest one.
struct WeightsNews {
  1: required string endpoint_id
  2: required i64 incarnation
  3: required i64 term
  4: required i64 number
  5: required i64 weights_version
  6: required bool loading
}

// Load that the sending VM has in flight on an endpoint.
struct LoadNews {
  1: required string endpoint_id
  2: required i32 running
  3: required i64 memory_tokens
  4: required i64 unread_tokens
  // Number of requests with long outputs.
  5: required i32 streams
}

// Rate-limit units that the sending VM has admitted for a customer.
struct SpendingNews {
  1: required string customer
  // Units since the VM started.
  2: required i64 total
  // Units within the last window of the limits.
  3: required i64 recent
  // Units for each second of that window, the latest second first.
  4: list<i64> by_second
}

// What an incarnation of an entry VM had admitted in its last seconds. The
// incarnation seems to have ended.
struct PastSpendingNews {
  1: required string vm_id
  2: required i64 incarnation
  3: required i64 age_ms
  // Units for each second, by customer, the latest second first.
  4: required map<string, list<i64>> seconds_by_customer
}

struct GossipMessage {
  1: required VmDescriptor vm
  2: required i64 version
  3: required list<VmDescriptor> vms
  4: required list<Announcement> announcements
  5: required list<string> withdrawn_digests
  6: required string fleet_id
  7: list<Strike> strikes
  8: list<PlacementNews> placements
  9: list<WeightsNews> weights
  10: list<LoadNews> loads
  11: list<SpendingNews> spending
  12: bool takes_callers
  13: list<PastSpendingNews> past_spending
}

service FleetLink {
  VoteReply request_vote(1: VoteRequest request)
  AppendReply append_entries(1: AppendRequest request)
  SnapshotReply install_snapshot(1: SnapshotRequest request)
  bool transfer_leadership(1: TransferRequest request)
  ProposeReply propose(1: ProposeRequest request)
  JoinReply join(1: JoinRequest request)
  ReplaceReply replace_voter(1: ReplaceRequest request)
  FollowReply follow(1: FollowRequest request)
  GossipMessage gossip(1: GossipMessage message)
  ApartReply hold_apart(1: ApartRequest request)
  LendReply lend_tokens(1: LendRequest request)
}
