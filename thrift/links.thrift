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
  7: bool takes_callers
  // Where it takes requests that another VM forwards; empty if it takes none.
  8: string forward_address
  // Names of the parts of the product that its build knows beyond those that
  // every build of protocol version 5 knows.
  9: optional list<string> features
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
  // Version of the software that the endpoint runs.
  13: string software_version
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

// Rate limit that an endpoint has named in an answer.
struct RateLimitNews {
  1: required string endpoint_id
  2: required i64 incarnation
  // Requests per second from all VMs together.
  3: required double per_second
  4: required i64 age_ms
}

// An endpoint has said in an answer that it is leaving.
struct LeavingNews {
  1: required string endpoint_id
  2: required i64 incarnation
  // Number of its newest announcement at that time.
  3: required i64 sequence
  4: required i64 age_ms
}

// Whether a VM reaches no endpoint.
struct CutOffNews {
  1: required string vm_id
  2: required i64 incarnation
  // Grows with each change of the incarnation.
  3: required i64 number
  4: required bool cut_off
}

// Asks for the permit to send an endpoint one request.
struct PermitRequest {
  1: required string endpoint_id
  2: required i64 incarnation
  3: required string vm_id
  // Age of the newest answer in which the endpoint spoke of its rate limit.
  4: required i64 age_ms
  // Requests per second from all VMs together; not set if the endpoint named
  // no limit any more.
  5: optional double per_second
}

struct PermitReply {
  1: required bool granted
  // Whether requests to the endpoint need no permit any more.
  2: required bool over
  // Time after which the VM may ask again.
  3: required i32 wait_ms
  // The newest answer that the replying VM knows of, as in the request.
  4: required i64 age_ms
  5: optional double per_second
}

// A stream whose first event has gone to its caller.
struct StreamNews {
  1: required string customer
  // Id of the request that brought the first event.
  2: required string request_id
  3: required string service_name
  // Version of the software of the endpoint that wrote the event.
  4: required string software_version
  5: required i64 age_ms
}

struct StreamReport {
  1: required list<StreamNews> streams
}

struct StreamReportReply {
  // Incarnation of the replying VM, which forgets streams when it restarts.
  1: required i64 incarnation
}

struct StreamQuery {
  1: required string customer
  2: required string request_id
  3: required string service_name
}

struct StreamReply {
  // Software versions of the service that the replying VM has seen lately.
  1: required list<string> versions
  // Time for which it has looked.
  2: required i64 covered_ms
  // Where the stream began; not set if that is not known.
  3: optional string service_name
  4: optional string software_version
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

// Samples of the prefill speed of an engine that VMs have seen.
struct SpeedNews {
  1: required string endpoint_id
  2: required i64 incarnation
  // Sums of the weights of samples, in hundredths, by bucket of the speed.
  3: required map<i16, i32> weights_by_bucket
}

// Rate-limit units that a VM, or a group of VMs, has admitted for a customer.
struct SpendingNews {
  1: required string customer
  // Units since the incarnation of the reporting VM started.
  2: required i64 total
  // Units within the last window of the limits; only in reports of groups.
  3: required i64 recent
  // Units of total that an earlier report of the same incarnation held and
  // that an aggregator has acknowledged; only in reports of members.
  4: i64 acknowledged
}

// What an incarnation of an aggregator had counted for its members in its
// last seconds. The incarnation seems to have ended.
struct PastSpendingNews {
  1: required string vm_id
  2: required i64 incarnation
  3: required i64 age_ms
  // Units for each second, by customer, the latest second first.
  4: required map<string, list<i64>> seconds_by_customer
}

// Usage of a VM's group: of its members and of the VM itself.
struct GroupReport {
  1: required string aggregator_id
  2: required i64 incarnation
  // Grows with each report of the incarnation.
  3: required i64 number
  4: required i32 age_ms
  // Number of VMs in the group that take callers.
  5: required i32 vm_count
  6: required list<SpendingNews> spending
}

// Block of a KV cache store, as the aggregator that polls the store knows it.
// An empty digest stands for the store itself: whether it answers.
struct StoreNews {
  1: required string address
  2: required binary digest
  3: required bool present
}

// Results of the requests that an incarnation of a VM has sent to one software
// version of a service on one route since a rollout began. All counts grow.
struct VersionResults {
  1: required string service_name
  2: required string software_version
  3: required string route
  // Requests sent there.
  4: required i64 sent
  // Answers that succeeded and those that failed, were wrong or broke off.
  5: required i64 succeeded
  6: required i64 failed
  // Numbers of answers by the bucket of their time, and of their longest
  // pause; see rollouts/evidence.py.
  7: required list<i64> times
  8: required list<i64> pauses
  // Requests that are at an endpoint now.
  9: required i64 in_flight
}

// What a VM asks of the VM that owns the rollouts, and reports to it.
struct RolloutReport {
  1: required string vm_id
  2: required i64 incarnation
  // Grows with each report of the incarnation.
  3: required i64 number
  4: required list<VersionResults> results
  // Requests that the VM may want to send to the target version before its
  // next report, by the log index of the rollout.
  5: required map<i64, i64> wanted
  // Phases of the rollouts by which the VM chose versions before it counted
  // the results, by the log index of the rollout.
  6: optional map<i64, string> phases
}

// The right to send requests to the target version of a rollout.
struct ExposureGrant {
  // Log index of the rollout's order.
  1: required i64 rollout
  // Number of requests; -1 if the share alone decides.
  2: required i64 requests
  // Share of the VM's requests, 0 to 1.
  3: required double share
  4: required i32 valid_ms
}

struct RolloutReply {
  // Whether the replying VM owns the rollouts; nothing else counts if not.
  1: required bool is_owner
  // Link address of the owner if the replying VM knows another one.
  2: string owner_address
  3: required list<ExposureGrant> grants
}

struct RosterEntry {
  1: required string vm_id
  // Latest version of the replicated state that the VM reported.
  2: required i64 version
}

// The VMs that an aggregator hears itself.
struct Roster {
  1: required string aggregator_id
  2: required i64 incarnation
  // Grows with each roster of the incarnation.
  3: required i64 number
  4: required list<RosterEntry> members
  // Other aggregators.
  5: required list<RosterEntry> peers
}

struct Records {
  1: list<VmDescriptor> vms
  2: list<Announcement> announcements
  3: list<Strike> strikes
  4: list<WeightsNews> weights
  5: list<PlacementNews> placements
  6: list<Roster> rosters
  7: list<StoreNews> stores
  8: list<RateLimitNews> rate_limits
  9: list<LeavingNews> leaving
  10: list<CutOffNews> cut_off_vms
  // Records of kinds that not all builds know, in envelopes; see
  // foreign_records.py.
  11: optional list<binary> foreign
}

// Position in the logs of records of one process.
struct LogPosition {
  // Names the logs; a restarted process has others.
  1: required i64 log_id
  2: required i64 records
  3: required i64 placements
}

enum SenderRole {
  // Reports to the receiver, which aggregates its reports.
  MEMBER = 1
  // Aggregates the reports of its own members, as the receiver does.
  AGGREGATOR = 2
  // Sends a few urgent records only.
  BROADCASTER = 3
}

struct GossipMessage {
  1: required VmDescriptor vm
  2: required i64 version
  3: required string fleet_id
  4: required SenderRole role
  5: required list<string> withdrawn_digests
  6: required Records records
  // Sums over the sender's group.
  7: list<LoadNews> loads
  8: GroupReport group
  // Position in the receiver's logs; not set by aggregators, which are sent
  // records in messages of their own.
  9: LogPosition position
  // Sums over the sender's group; not set in every message.
  11: list<SpeedNews> speeds
}

struct GossipReply {
  1: required VmDescriptor vm
  2: required i64 version
  3: required string fleet_id
  // As in FollowReply.
  4: required i64 contact_age_ms
  5: required list<string> withdrawn_digests
  // Whether the receiver takes the sender as a member; if not, only the
  // records are set.
  6: required bool accepted
  7: required Records records
  8: LogPosition position
  9: list<string> silent_endpoints
  // Time until the member's next message.
  10: i32 period_ms
  // Sums over all other VMs of the fleet.
  11: list<LoadNews> loads
  12: list<GroupReport> groups
  // Units of the member itself within the report of the receiver's group.
  13: map<string, i64> own_units
  14: list<PastSpendingNews> past_spending
  // Sums over all VMs of the fleet; not set in every reply.
  16: list<SpeedNews> speeds
  // Milliseconds since the replica of the receiver was in contact with a
  // leader, or as the leader with a quorum. Not set without a replica.
  17: i64 leader_contact_ms
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
  GossipReply gossip(1: GossipMessage message)
  ApartReply hold_apart(1: ApartRequest request)
  LendReply lend_tokens(1: LendRequest request)
  PermitReply take_permit(1: PermitRequest request)
  StreamReportReply record_streams(1: StreamReport report)
  StreamReply find_stream(1: StreamQuery query)
  RolloutReply report_rollouts(1: RolloutReport report)
}
