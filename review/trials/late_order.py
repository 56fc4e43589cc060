"""Freezes the control VMs as a new version's endpoints become known.

The steps are those of test_entry_vms_that_are_cut_off_use_no_old_right in
tests/test_rollouts_over_processes.py, but that the freeze begins as an entry
VM knows an endpoint of the new version, not as one gets a request. It tells
which entry VMs had no order by then, and how many requests each version got
without a right.

Run in the repository's root, in the project's environment:

    .venv/bin/python review/trials/late_order.py [PAUSE]

PAUSE is the time in seconds from the first answers to the order (0). It exits
with 1 if the new version got requests from 2 s after the freeze on.
"""

import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
for folder in ('bench', 'tests', 'platform'):
    sys.path.insert(0, str(ROOT / folder))

import rollout_site  # noqa: E402 (needs the paths above)

FROZEN_SECONDS = 2.0
RAMP_SECONDS = 6
ANSWERS = 100
POLL_SECONDS = 0.002


def has_logged(vm, *texts):
    """Return whether a line of a VM's log holds all of some texts."""
    return any(
        all(text in line for text in texts)
        for line in vm.log_path.read_text(errors='replace').splitlines()
    )


def await_known(vms):
    """Wait until a VM knows an endpoint of the new version."""
    text = f'"software": "{rollout_site.TARGET}"'
    while not any(has_logged(vm, '"endpoint-seen"', text) for vm in vms):
        time.sleep(POLL_SECONDS)


def find_uninformed(vms):
    """Return the ids of the VMs that have not heard of the order."""
    return [vm.id for vm in vms if not has_logged(vm, '"rollout-followed"')]


def play(site, pause):
    """Return the requests to the new version after the wait, and a text."""
    time.sleep(pause)
    site.order(rollout_site.TARGET, RAMP_SECONDS)
    site.add_endpoints(rollout_site.TARGET)
    await_known(site.processes.entry_vms)
    with site.frozen(site.processes.control_vms):
        time.sleep(FROZEN_SECONDS)
        uninformed = find_uninformed(site.processes.entry_vms)
        since = time.monotonic()
        site.await_answers(ANSWERS)
        count = site.count_requests(rollout_site.TARGET, since)
        others = site.count_requests(rollout_site.FORMER, since)
    return count, (
        f'new version: {count} requests, former one: {others}; '
        f'entry VMs without the order: {", ".join(uninformed) or "none"}'
    )


def main():
    pause = float(sys.argv[1]) if len(sys.argv) > 1 else 0.0
    with (
        tempfile.TemporaryDirectory() as folder,
        rollout_site.RolloutSite(pathlib.Path(folder)) as site,
    ):
        count, text = play(site, pause)
    print(text)
    return 1 if count else 0


if __name__ == '__main__':
    sys.exit(main())
