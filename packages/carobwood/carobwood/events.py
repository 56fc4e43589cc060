"""Numbered log events, which docs/events.md lists."""

import dataclasses
import json

from absl import logging


@dataclasses.dataclass(frozen=True)
class Event:
    """One kind of log event.

    Attributes:
        number: number that never changes.
        name: short name that never changes.
        level: log level, a constant of ``absl.logging``.
    """

    number: int
    name: str
    level: int


DAEMON_STARTED = Event(100, 'daemon-started', logging.INFO)
DAEMON_STOPPING = Event(101, 'daemon-stopping', logging.INFO)
DAEMON_STOPPED = Event(102, 'daemon-stopped', logging.INFO)
THREAD_FAILED = Event(103, 'thread-failed', logging.ERROR)
DRAIN_TIMED_OUT = Event(104, 'drain-timed-out', logging.WARNING)
LISTENER_FAILED = Event(105, 'listener-failed', logging.ERROR)
WORKER_REFUSED = Event(106, 'worker-refused', logging.ERROR)
START_ABANDONED = Event(107, 'start-abandoned', logging.INFO)
DESCRIPTORS_SHORT = Event(108, 'descriptors-short', logging.WARNING)
MEMORY_SHORT = Event(109, 'memory-short', logging.WARNING)
VM_RESTARTED = Event(110, 'vm-restarted', logging.INFO)
THREAD_REFUSED = Event(111, 'thread-refused', logging.ERROR)
START_FAILED = Event(112, 'start-failed', logging.ERROR)
REQUEST_REFUSED = Event(200, 'request-refused', logging.INFO)
REQUEST_FAILED = Event(201, 'request-failed', logging.WARNING)
REQUEST_CRASHED = Event(202, 'request-crashed', logging.ERROR)
STREAM_RESUMED = Event(203, 'stream-resumed', logging.WARNING)
STREAM_BROKEN = Event(204, 'stream-broken', logging.WARNING)
CALLER_LEFT = Event(205, 'caller-left', logging.INFO)
CLAIM_UNSETTLED = Event(206, 'claim-unsettled', logging.WARNING)
REQUEST_ANSWERED = Event(207, 'request-answered', logging.INFO)
REQUEST_SENT = Event(208, 'request-sent', logging.INFO)
ATTEMPT_FAILED = Event(209, 'attempt-failed', logging.WARNING)
CONNECTION_FAILED = Event(210, 'connection-failed', logging.INFO)
RATE_PASSED = Event(211, 'rate-passed', logging.INFO)
REQUEST_WAITING = Event(212, 'request-waiting', logging.INFO)
WAIT_ENDED = Event(213, 'wait-ended', logging.INFO)
CONFIGURATION_AWAITED = Event(214, 'configuration-awaited', logging.INFO)
PAST_SPENDING_COUNTED = Event(215, 'past-spending-counted', logging.INFO)
STREAM_ORIGIN = Event(216, 'stream-origin', logging.INFO)
REQUEST_FORWARDED = Event(217, 'request-forwarded', logging.INFO)
REQUEST_READMITTED = Event(218, 'request-readmitted', logging.INFO)
CONNECTION_UNANSWERED = Event(219, 'connection-unanswered', logging.INFO)
LISTENER_STOPPED = Event(220, 'listener-stopped', logging.INFO)
USAGE_AWAITED = Event(221, 'usage-awaited', logging.INFO)
ENDPOINT_SILENT = Event(222, 'endpoint-silent', logging.INFO)
ANSWER_PASSED_ON = Event(225, 'answer-passed-on', logging.INFO)
CONNECTION_REFUSED = Event(240, 'connection-refused', logging.INFO)
CONNECTION_CLOSED = Event(241, 'connection-closed', logging.INFO)
CONNECTIONS_CLOSED = Event(242, 'connections-closed', logging.INFO)
ENDPOINT_SEEN = Event(300, 'endpoint-seen', logging.INFO)
ENDPOINT_LEAVING = Event(301, 'endpoint-leaving', logging.INFO)
ENDPOINT_EXPIRED = Event(302, 'endpoint-expired', logging.WARNING)
ENDPOINT_SUSPECTED = Event(303, 'endpoint-suspected', logging.WARNING)
REQUEST_SUSPECTED = Event(304, 'request-suspected', logging.WARNING)
CACHE_EVENTS_LOST = Event(305, 'cache-events-lost', logging.INFO)
ENDPOINT_OVERDUE = Event(306, 'endpoint-overdue', logging.WARNING)
ENDPOINT_UNREACHED = Event(307, 'endpoint-unreached', logging.WARNING)
STORE_LOST = Event(308, 'store-lost', logging.WARNING)
STORE_REGAINED = Event(309, 'store-regained', logging.INFO)
VM_SEEN = Event(310, 'vm-seen', logging.INFO)
VM_SILENT = Event(311, 'vm-silent', logging.WARNING)
VM_REGAINED = Event(313, 'vm-regained', logging.INFO)
LINK_REFUSED = Event(312, 'link-refused', logging.WARNING)
AGGREGATOR_JOINED = Event(318, 'aggregator-joined', logging.INFO)
ENDPOINT_PAUSED = Event(314, 'endpoint-paused', logging.INFO)
ENDPOINT_REGAINED = Event(317, 'endpoint-regained', logging.INFO)
ENDPOINT_CRASHED = Event(319, 'endpoint-crashed', logging.WARNING)
SEGMENT_BLOCKED = Event(320, 'segment-blocked', logging.WARNING)
SEGMENT_TRIED = Event(321, 'segment-tried', logging.INFO)
SEGMENT_RELEASED = Event(322, 'segment-released', logging.INFO)
ENDPOINT_SAYS_LEAVING = Event(323, 'endpoint-says-leaving', logging.INFO)
ENDPOINT_UNAVAILABLE = Event(324, 'endpoint-unavailable', logging.INFO)
STRIKE_IGNORED = Event(325, 'strike-ignored', logging.WARNING)
ENDPOINT_RATE_LIMIT = Event(326, 'endpoint-rate-limit', logging.INFO)
VM_CALL_FAILED = Event(327, 'vm-call-failed', logging.WARNING)
LEAVING_CONFIRMED = Event(328, 'leaving-confirmed', logging.INFO)
LEAVING_UNCONFIRMED = Event(329, 'leaving-unconfirmed', logging.WARNING)
VM_CUT_OFF = Event(330, 'vm-cut-off', logging.WARNING)
VM_REACHES_ENDPOINTS = Event(331, 'vm-reaches-endpoints', logging.INFO)
PEER_CUT_OFF = Event(332, 'peer-cut-off', logging.INFO)
ENDPOINT_CONTRADICTED = Event(333, 'endpoint-contradicted', logging.WARNING)
RECORD_UNKNOWN = Event(334, 'record-unknown', logging.INFO)
RECORD_REFUSED = Event(335, 'record-refused', logging.WARNING)
ENDPOINT_REPLACED = Event(336, 'endpoint-replaced', logging.WARNING)
AGGREGATOR_LEFT = Event(337, 'aggregator-left', logging.INFO)
AGGREGATOR_WITHOUT_CONTACT = Event(
    338, 'aggregator-without-contact', logging.WARNING
)
AGGREGATOR_IN_CONTACT = Event(339, 'aggregator-in-contact', logging.INFO)
ORDER_CALL_FAILED = Event(340, 'order-call-failed', logging.WARNING)
ENDPOINT_HEARD_AGAIN = Event(341, 'endpoint-heard-again', logging.INFO)
RECORDS_READ_AGAIN = Event(342, 'records-read-again', logging.INFO)
CACHE_LOST = Event(315, 'cache-lost', logging.WARNING)
CACHE_REGAINED = Event(316, 'cache-regained', logging.INFO)
TERM_STARTED = Event(400, 'term-started', logging.INFO)
LEADER_ELECTED = Event(401, 'leader-elected', logging.INFO)
LEADER_STEPPED_DOWN = Event(402, 'leader-stepped-down', logging.INFO)
SNAPSHOT_WRITTEN = Event(403, 'snapshot-written', logging.INFO)
SNAPSHOT_INSTALLED = Event(404, 'snapshot-installed', logging.INFO)
LOG_TAIL_CUT = Event(405, 'log-tail-cut', logging.WARNING)
DISK_FAILED = Event(406, 'disk-failed', logging.ERROR)
VOTERS_CHANGED = Event(407, 'voters-changed', logging.INFO)
VOTE_HANDED_OVER = Event(415, 'vote-handed-over', logging.INFO)
VOTE_KEPT = Event(416, 'vote-kept', logging.WARNING)
COMMAND_FAILED = Event(408, 'command-failed', logging.ERROR)
VERSION_FOLLOWED = Event(410, 'version-followed', logging.INFO)
SOURCE_LOST = Event(413, 'source-lost', logging.WARNING)
SOURCE_REGAINED = Event(414, 'source-regained', logging.INFO)
KEY_WITHDRAWN = Event(411, 'key-withdrawn', logging.INFO)
WITHDRAWAL_UNCOMMITTED = Event(412, 'withdrawal-uncommitted', logging.WARNING)
OPERATOR_CHANGE = Event(420, 'operator-change', logging.INFO)
ORDER_FINISHED = Event(421, 'order-finished', logging.INFO)
ROLLOUT_ORDERED = Event(422, 'rollout-ordered', logging.INFO)
CONFIGURATION_IN_FORCE = Event(430, 'configuration-in-force', logging.INFO)
CONFIGURATION_UNREADABLE = Event(
    431, 'configuration-unreadable', logging.ERROR
)
CONFIGURATION_PARTLY_READ = Event(
    438, 'configuration-partly-read', logging.ERROR
)
WEIGHTS_ORDERED = Event(432, 'weights-ordered', logging.INFO)
WEIGHTS_ORDER_FAILED = Event(433, 'weights-order-failed', logging.WARNING)
WEIGHTS_MISMATCH = Event(436, 'weights-mismatch', logging.WARNING)
ORDERS_HELD = Event(437, 'orders-held', logging.INFO)
CONTROL_CALL = Event(434, 'control-call', logging.INFO)
CONTROL_CALL_FAILED = Event(435, 'control-call-failed', logging.WARNING)
ROLLOUT_TAKEN = Event(450, 'rollout-taken', logging.INFO)
ROLLOUT_OWNED = Event(451, 'rollout-owned', logging.INFO)
ROLLOUT_ADVANCED = Event(452, 'rollout-advanced', logging.INFO)
ROLLOUT_ROLLED_BACK = Event(453, 'rollout-rolled-back', logging.WARNING)
ROLLOUT_EVIDENCE = Event(454, 'rollout-evidence', logging.INFO)
ROLLOUT_CHANGE_FAILED = Event(455, 'rollout-change-failed', logging.WARNING)
ROLLOUT_FOLLOWED = Event(460, 'rollout-followed', logging.INFO)
VERSION_HELD = Event(461, 'version-held', logging.INFO)
ROLLOUT_OWNER = Event(462, 'rollout-owner', logging.INFO)
EXPOSURE_CHANGED = Event(463, 'exposure-changed', logging.INFO)
TARGET_ALONE = Event(464, 'target-alone', logging.WARNING)
OVERLOAD_REFUSED = Event(470, 'overload-refused', logging.INFO)
OVERLOAD_LEVEL = Event(471, 'overload-level', logging.INFO)
CONNECTIONS_BACKED_OFF = Event(480, 'connections-backed-off', logging.WARNING)
ENGINE_SPEEDS = Event(490, 'engine-speeds', logging.INFO)
REQUEST_EXPLAINED = Event(500, 'request-explained', logging.INFO)
EXPLANATION_REFUSED = Event(501, 'explanation-refused', logging.WARNING)
SETTINGS_RELOADED = Event(440, 'settings-reloaded', logging.INFO)
SETTINGS_REFUSED = Event(442, 'settings-refused', logging.ERROR)
RELOAD_REQUESTED = Event(443, 'reload-requested', logging.INFO)
LOG_LINES_DROPPED = Event(441, 'log-lines-dropped', logging.WARNING)


def all_events():
    """Return every event, sorted by number."""
    events = [item for item in globals().values() if isinstance(item, Event)]
    return sorted(events, key=lambda event: event.number)


def emit(event, **fields):
    """Log an event as one line of JSON.

    Args:
        event: the ``Event``.
        **fields: further keys and values of the line. Must not contain
            callers' keys or the bodies of requests and responses.
    """
    if not logging.get_absl_logger().isEnabledFor(
        logging.converter.absl_to_standard(event.level)
    ):
        return
    record = {'event': event.number, 'name': event.name}
    record.update(fields)
    logging.log(event.level, '%s', json.dumps(record, default=str))
