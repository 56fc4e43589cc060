"""Checks of what callers and endpoints of a soak have seen."""

import collections

import relay_processes
import soak_site
import upgrade_checks

# A caller or a VM has ended the request if it lasted for such a share of the
# time that it had.
USED_UP_SHARE = 0.95
# Requests that are sent later after a SIGTERM must end before the VM's stop.
LATEST_SENT_SECONDS = 3.0
# The end of a stop in which a VM may break off what was sent before.
LAST_STOP_SHARE = 5 / 6
# Two endpoints may work on a request for so long.
TWO_AT_ONCE_SECONDS = 0.4
# An endpoint learns that its connection was closed by the second event that
# it sends after that.
NOTICE_SECONDS = 2.5 * soak_site.EVENT_SECONDS


def judge(site, works):
    """Return the verdicts on a run.

    Args:
        site: the ``Site``.
        works: the ``Work`` of its endpoints.
    """
    records = site.records
    records.runs = [work.run for work in works]
    return [
        check_answered(records),
        _check_two_at_once(works, records.silences),
        *upgrade_checks.judge_answers(records),
    ]


def check_answered(records):
    """Return whether each request that was read has a complete answer.

    Only a kill or a pause of the VM that has taken it excuses one without.
    """
    run_ids = {run.request_id for run in records.runs}
    judged = [
        attempt
        for attempt in records.attempts
        if attempt.connected_at is not None
        and not _is_disturbed(records, attempt)
    ]
    breaks = [
        upgrade_checks.describe(attempt)
        for attempt in judged
        if _is_lost(records, attempt, attempt.id in run_ids)
    ]
    return upgrade_checks.Verdict(
        'requests that were read are answered', len(judged), breaks
    )


def _is_disturbed(records, attempt):
    return records.has_disruption(
        attempt.sent_at - upgrade_checks.CONTACT_SECONDS,
        attempt.ended_at,
        lambda disruption: (
            not disruption.is_planned and disruption.vm_id == attempt.vm_id
        ),
    )


def _is_lost(records, attempt, has_run):
    if attempt.is_complete or attempt.has_left:
        return False
    seconds = attempt.ended_at - attempt.sent_at
    if seconds > USED_UP_SHARE * soak_site.route_seconds(attempt.route):
        return False
    if not has_run and seconds <= upgrade_checks.LOSS_SLACK_SECONDS:
        # It may have crossed the VM's close.
        return False
    return not any(
        _is_end_of_stop(stop, attempt)
        for stop in records.disruptions
        if stop.is_planned and stop.vm_id == attempt.vm_id
    )


def _is_end_of_stop(stop, attempt):
    grace = relay_processes.GRACE_SECONDS
    return (
        attempt.sent_at <= stop.began_at + LATEST_SENT_SECONDS
        and attempt.ended_at >= stop.began_at + LAST_STOP_SHARE * grace
        and attempt.ended_at <= stop.ended_at
    )


def _check_two_at_once(works, silences):
    works_by_id = collections.defaultdict(list)
    for work in works:
        works_by_id[work.run.request_id].append(work)
    breaks = []
    for request_id, request_works in works_by_id.items():
        request_works.sort(key=lambda work: work.run.at)
        for earlier, later in zip(request_works, request_works[1:]):
            seconds = _seconds_at_once(earlier, later, silences)
            if seconds > TWO_AT_ONCE_SECONDS + NOTICE_SECONDS:
                breaks.append(
                    f'{request_id}: {seconds:.2f} s at '
                    f'{earlier.run.endpoint_id} and {later.run.endpoint_id}'
                )
    return upgrade_checks.Verdict(
        'no request is at two endpoints', len(works_by_id), breaks
    )


def _seconds_at_once(earlier, later, silences):
    """Return for how long two endpoints that weren't silent worked."""
    began_at = later.run.at
    ended_at = min(earlier.ended_at, later.ended_at)
    if ended_at == float('inf'):
        return 0.0
    silent_seconds = sum(
        max(
            0.0,
            min(silence.ended_at, ended_at) - max(silence.began_at, began_at),
        )
        for silence in silences
        if silence.vm_id == earlier.run.endpoint_id
    )
    return ended_at - began_at - silent_seconds
