"""Checks of what callers, engines and the operator of a run have seen."""

import collections
import dataclasses

import relay_builders
import relay_processes
import relay_test_fleet
import upgrade_callers
import upgrade_operator
import upgrade_rollout

# Bounds that the platform promises, in seconds.
CONFIGURATION_SECONDS = 2.0
UNSTABLE_CORE_SECONDS = 5.0
CONTACT_SECONDS = upgrade_rollout.CONTACT_SECONDS
DRAIN_SECONDS = 2.0
LOSS_SLACK_SECONDS = 0.2
# A request that has used so much of its time may end without an answer.
LATE_SECONDS = 0.7 * relay_test_fleet.DEADLINE_SECONDS
# Requests that may run on more endpoints than their route allows.
TOLERATED_RETRIED = 3

_NOT_RUN_STATUSES = (408, 421, 429, 503)
_OWN_REFUSALS = (408, 421, 429)
_ATTEMPTS_BY_ROUTE = {'checks': 1, 'captions': 2, 'orders': 1, 'lookups': 2}
_ONCE_ROUTES = ('checks', 'orders')


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The verdict on one promise.

    Attributes:
        promise: what is promised.
        cases: number of cases that were checked.
        breaks: descriptions of the cases in which it was broken.
    """

    promise: str
    cases: int
    breaks: list

    @property
    def is_kept(self):
        """Whether the promise was kept."""
        return not self.breaks


def judge(records, with_time_bounds):
    """Return the verdicts on a run.

    Args:
        records: the ``Records``.
        with_time_bounds: whether promises with a time bound are judged.
    """
    checks = [
        _check_final_configuration,
        _check_content,
        _check_final_attempts,
        _check_once,
        _check_refusals,
        _check_runs,
        _check_answers,
        _check_streams,
        _check_software,
        _check_denied,
        _check_lost,
        _check_retries,
        _check_limit,
        _check_processes,
        _check_returns,
    ]
    if with_time_bounds:
        checks += [
            _check_older,
            _check_withdrawn_keys,
            _check_added_keys,
            _check_draining,
        ]
    return [check(records) for check in checks]


def judge_answers(records):
    """Return the verdicts on what callers and endpoints have seen.

    Whether requests were lost isn't judged.
    """
    checks = [
        _check_once,
        _check_refusals,
        _check_runs,
        _check_answers,
        _check_streams,
        _check_denied,
        _check_retries,
        _check_final_configuration,
        _check_processes,
        _check_returns,
    ]
    return [check(records) for check in checks]


def served_share(records):
    """Return the share of proper requests that were served."""
    proper = [a for a in records.attempts if a.key == relay_builders.KEY]
    served = sum(a.is_served or a.has_left for a in proper)
    return served / max(1, len(proper))


def count_statuses(records):
    """Return the number of proper requests by status of the answer.

    Those whose answer broke off count under 'incomplete'.
    """
    counts = collections.Counter()
    for attempt in records.attempts:
        if attempt.key == relay_builders.KEY:
            is_whole = attempt.is_complete or attempt.has_left
            is_broken = attempt.status and not is_whole
            counts['incomplete' if is_broken else attempt.status] += 1
    return dict(counts.most_common())


def _check_final_configuration(records):
    newest = max(change.version for change in records.changes)
    breaks = [
        f'{found.vm_id} has version {found.version}, acknowledged: {newest}'
        for found in records.final_read_backs
        if found.version < newest
    ]
    missing = relay_processes.CONTROL_VM_COUNT - len(records.final_read_backs)
    breaks += [f'{missing} control VMs do not answer'] if missing else []
    return Verdict(
        'acknowledged configurations are kept', len(records.changes), breaks
    )


def _check_content(records):
    read_backs = records.read_backs + records.final_read_backs
    breaks = [str(r) for r in read_backs if not r.is_as_sent]
    return Verdict(
        'configurations are read back as sent', len(read_backs), breaks
    )


def _check_final_attempts(records):
    breaks = []
    for attempt in records.final_attempts:
        is_withdrawn = _is_withdrawn(records, attempt.key)
        if is_withdrawn != (attempt.status == 401):
            breaks.append(describe(attempt))
    return Verdict(
        'in the end all VMs follow the keys',
        len(records.final_attempts),
        breaks,
    )


def _is_withdrawn(records, key):
    return any(change.withdrawn_key == key for change in records.changes)


def _attempts_by_id(records):
    return {attempt.id: attempt for attempt in records.attempts}


def _runs_by_id(records):
    runs_by_id = collections.defaultdict(list)
    for run in records.runs:
        runs_by_id[run.request_id].append(run)
    return runs_by_id


def _check_once(records):
    runs_by_id = _runs_by_id(records)
    once = [a for a in records.attempts if a.route in _ONCE_ROUTES]
    breaks = [describe(a) for a in once if len(runs_by_id[a.id]) > 1]
    return Verdict('nothing runs twice', len(once), breaks)


def _check_refusals(records):
    runs_by_id = _runs_by_id(records)
    refused = [
        a
        for a in records.attempts
        if a.status in _NOT_RUN_STATUSES and a.route in _ONCE_ROUTES
    ]
    breaks = [describe(a) for a in refused if runs_by_id[a.id]]
    return Verdict('what is refused has not run', len(refused), breaks)


def _check_runs(records):
    attempts_by_id = _attempts_by_id(records)
    breaks = []
    for run in records.runs:
        attempt = attempts_by_id.get(run.request_id)
        is_as_sent = (
            attempt is not None
            and run.customer == attempt.customer
            and run.path == records.paths_by_id[run.request_id]
            and run.body == records.bodies_by_id[run.request_id]
        )
        if not is_as_sent:
            breaks.append(f'{run} of {attempt}')
    return Verdict('engines run what was sent', len(records.runs), breaks)


def _check_answers(records):
    plain = [a for a in records.attempts if a.is_served and not a.event_count]
    breaks = [
        describe(a)
        for a in plain
        if a.body != a.id.encode().ljust(a.answer_bytes, b'.')
        or a.answered_id != a.id
    ]
    return Verdict('answers belong to their requests', len(plain), breaks)


def _check_streams(records):
    streams = [
        a for a in records.attempts if a.event_count and a.status == 200
    ]
    breaks = [describe(a) for a in streams if not _is_sound_stream(a)]
    return Verdict(
        'streams are in order, none looks whole', len(streams), breaks
    )


def _is_sound_stream(attempt):
    expected = b''.join(
        b'id: %d\ndata: %s/%d\n\n' % (number, attempt.id.encode(), number)
        for number in range(attempt.first_event, attempt.event_count + 1)
    )
    if attempt.is_complete:
        return attempt.body == expected
    whole_events, _, _ = attempt.body.rpartition(b'\n\n')
    return expected.startswith(whole_events)


def _check_software(records):
    runs_by_id = _runs_by_id(records)
    resumed = [a for a in records.attempts if a.resumes and runs_by_id[a.id]]
    breaks = []
    for attempt in resumed:
        versions = {
            run.software_version
            for request_id in (attempt.resumes, attempt.id)
            for run in runs_by_id[request_id]
        }
        if len(versions) > 1:
            breaks.append(describe(attempt))
    return Verdict('streams keep to their software', len(resumed), breaks)


def _check_denied(records):
    proper = [a for a in records.attempts if a.key == relay_builders.KEY]
    breaks = [
        describe(a)
        for a in proper
        if 300 <= a.status < 500 and a.status not in _OWN_REFUSALS
    ]
    return Verdict('no proper request is denied', len(proper), breaks)


def _check_lost(records):
    runs_by_id = _runs_by_id(records)
    judged = []
    for attempt in records.attempts:
        if attempt.connected_at is not None and not records.has_disruption(
            attempt.sent_at - CONTACT_SECONDS,
            attempt.ended_at,
            lambda disruption: not disruption.is_planned,
        ):
            judged.append(attempt)
    breaks = []
    for attempt in judged:
        if attempt.is_complete or attempt.has_left:
            continue
        seconds = attempt.ended_at - attempt.connected_at
        if seconds > LATE_SECONDS:
            continue
        if runs_by_id[attempt.id] or seconds > LOSS_SLACK_SECONDS:
            breaks.append(describe(attempt))
    return Verdict('requests that were read are answered', len(judged), breaks)


def _check_retries(records):
    runs_by_id = _runs_by_id(records)
    breaks = [
        describe(attempt)
        for attempt in records.attempts
        if len({run.endpoint_id for run in runs_by_id[attempt.id]})
        > _ATTEMPTS_BY_ROUTE[attempt.route]
    ]
    if len(breaks) <= TOLERATED_RETRIED:
        breaks = []
    return Verdict('retries stay in bounds', len(records.attempts), breaks)


def _check_limit(records):
    bounds = relay_processes.BOUNDS
    window = bounds['quota_window_s']
    allowed = upgrade_operator.GREEDY_RATE * window
    allowed += upgrade_operator.GREEDY_BURST
    allowed *= 1 + bounds['quota_overshoot']
    allowed += bounds['quota_slack']
    times_by_id = {}
    for run in records.runs:
        if run.customer == upgrade_callers.GREEDY_CUSTOMER:
            times_by_id.setdefault(run.request_id, run.at)
    times = sorted(times_by_id.values())
    first = 0
    breaks = []
    for last, at in enumerate(times):
        while times[first] < at - window:
            first += 1
        if last - first + 1 > allowed:
            breaks.append(f'{last - first + 1} in {window} s until {at:.2f}')
    return Verdict('customers are held to their limits', len(times), breaks)


def _check_processes(records):
    return Verdict(
        'no process ends by itself',
        relay_processes.CONTROL_VM_COUNT + relay_processes.ENTRY_VM_COUNT,
        records.ended_by_themselves,
    )


def _check_returns(records):
    return Verdict('VMs come back', len(records.disruptions), records.timeouts)


def _check_older(records):
    breaks = []
    for found in records.read_backs:
        due = [
            change.version
            for change in records.changes
            if change.acknowledged_at + CONFIGURATION_SECONDS < found.sent_at
        ]
        if due and found.version < max(due):
            breaks.append(f'{found}, acknowledged: {max(due)}')
    return Verdict(
        'no older configuration is read', len(records.read_backs), breaks
    )


def _check_withdrawn_keys(records):
    changes_by_key = {c.withdrawn_key: c for c in records.changes}
    runs_by_id = _runs_by_id(records)
    judged = []
    for attempt in records.attempts:
        change = changes_by_key.get(attempt.key)
        if change is not None and _must_follow(records, attempt, change):
            judged.append(attempt)
    breaks = [
        describe(a) for a in judged if runs_by_id[a.id] or a.status == 200
    ]
    return Verdict('withdrawn keys are refused', len(judged), breaks)


def _check_added_keys(records):
    changes_by_key = {c.added_key: c for c in records.changes}
    changes_by_version = {c.version: c for c in records.changes}
    judged = []
    for attempt in records.attempts:
        change = changes_by_key.get(attempt.key)
        if change is None or not _must_follow(records, attempt, change):
            continue
        # While the version before that which withdraws it is not
        # acknowledged, that one has not been sent.
        later = changes_by_version.get(
            change.version + upgrade_operator.KEY_VERSIONS - 1
        )
        if later is None or attempt.ended_at < later.acknowledged_at:
            judged.append(attempt)
    breaks = [describe(a) for a in judged if a.status in (401, 403, 404)]
    return Verdict('added keys are accepted', len(judged), breaks)


def _must_follow(records, attempt, change):
    """Return whether a VM must follow a change when a request is sent."""
    if records.has_disruption(
        attempt.sent_at - CONTACT_SECONDS,
        attempt.ended_at,
        lambda disruption: disruption.vm_id == attempt.vm_id,
    ):
        return False
    bound = CONFIGURATION_SECONDS
    if records.has_disruption(
        change.acknowledged_at - CONTACT_SECONDS,
        attempt.sent_at,
        lambda disruption: disruption.vm_id.startswith('core'),
    ):
        bound += UNSTABLE_CORE_SECONDS
    return attempt.sent_at > change.acknowledged_at + bound


def _check_draining(records):
    attempts_by_id = _attempts_by_id(records)
    times_by_id = {
        leaving.endpoint_id: leaving.acknowledged_at
        for leaving in records.leavings
    }
    breaks = []
    for run in records.runs:
        acknowledged_at = times_by_id.get(run.endpoint_id, float('inf'))
        attempt = attempts_by_id.get(run.request_id)
        if attempt is None or run.at <= acknowledged_at + DRAIN_SECONDS:
            continue
        if not records.has_disruption(
            run.at - CONTACT_SECONDS,
            run.at,
            lambda disruption: (
                disruption.vm_id == attempt.vm_id
                or disruption.vm_id.startswith('core')
            ),
        ):
            breaks.append(f'{run} after {acknowledged_at:.2f}')
    return Verdict('leaving engines get no requests', len(times_by_id), breaks)


def describe(attempt):
    """Return what is known of an ``Attempt`` in one line."""
    seconds = attempt.ended_at - attempt.sent_at
    return (
        f'{attempt.id} {attempt.route} at {attempt.vm_id}: status '
        f'{attempt.status}, complete {attempt.is_complete}, sent at '
        f'{attempt.sent_at:.3f}, {seconds:.3f} s, event '
        f'{attempt.last_event()} of {attempt.event_count}, key '
        f'{attempt.key}, {attempt.failure}'
    )
