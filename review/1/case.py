"""An acknowledged configuration is gone after kills of core processes.

Order of events: the two followers are killed; the leader, alone, appends the
operator's reads to its log, and is killed in turn. The others go on without
these entries. When the leader of before leads again, it takes its new
entries for stored on its disk, up to the length that its log once had.
"""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import configurations  # noqa: E402
import fleet as fleets  # noqa: E402

# Reads in progress at once, and how often.
READS = 8
READ_ROUNDS = 2
KILLED_SECONDS = 2.0
# The pages have all core processes back within a second.
LAST_START_SECONDS = 0.9
# Planned stops at most, the time between two of them, and that from the end
# of a process to its next start.
MAX_STOPS = 4
STOP_GAP_SECONDS = 1.0
RESTART_SECONDS = 0.5
RECOVERY_SECONDS = 12.0


def main():
    record = fleets.Record(HERE / 'record.txt')
    try:
        with fleets.Fleet(record, cores=3) as fleet:
            return run(fleet, record)
    except fleets.CannotRun as error:
        record(f'the case could not run: {error}')
        return 2


def run(fleet, record):
    operator = fleets.Operator(record)
    fleet.start()
    leader, term = fleet.await_leader()
    operator.put_until_acked(fleet.cores, _configuration(1))
    time.sleep(1.0)
    if fleets.TROUBLE:
        _lengthen_log(fleet, operator, leader, term)
        stopped, other = _make_leader_again(fleet, leader)
        operator.put_until_acked([leader], _configuration(2))
        _kill_all(fleet, leader, stopped, other)
    else:
        for _ in range(READ_ROUNDS):
            operator.read_together(leader, READS)
        operator.put_until_acked([leader], _configuration(2))
    time.sleep(RECOVERY_SECONDS)
    return _check(fleet, operator, record)


def _configuration(version):
    routes = [
        configurations.route('orders', 'stores', 'unsafe', '/orders/'),
        configurations.route('status', 'stores', 'safe', '/status/'),
    ]
    return configurations.configuration(
        version, routes[:version], [configurations.plain_service('stores')]
    )


def _lengthen_log(fleet, operator, leader, term):
    """Kill the followers, read from the leader, and kill it as well."""
    followers = [core for core in fleet.cores if core is not leader]
    for core in followers:
        core.kill()
    killed_at = time.monotonic()
    for _ in range(READ_ROUNDS):
        operator.read_together(leader, READS)
    time.sleep(max(0.0, killed_at + KILLED_SECONDS - time.monotonic()))
    leader.kill()
    for core in followers:
        core.start()
    # The leader of before is back once the others have elected another.
    fleet.await_leader(term)
    time.sleep(1.0)
    leader.start()
    time.sleep(3.0)


def _make_leader_again(fleet, wanted):
    """Stop the leaders in turn, as for a release, until one leads again.

    Returns:
        The core that was stopped last, and the third one.
    """
    leader, term = fleet.leader()
    (other,) = {*fleet.cores} - {wanted, leader}
    stopped, running = leader, other
    for _ in range(MAX_STOPS):
        stopped.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        leader, term = fleet.await_leader(term)
        if leader is wanted:
            return stopped, running
        stopped.process.wait()
        time.sleep(RESTART_SECONDS)
        stopped.start()
        stopped, running = running, stopped
        time.sleep(max(0.0, stopped_at + STOP_GAP_SECONDS - time.monotonic()))
    raise fleets.CannotRun('the leader of before was not elected again')


def _kill_all(fleet, leader, stopped, other):
    """Kill all processes; all are back within a second."""
    leader.kill()
    other.kill()
    killed_at = time.monotonic()
    if stopped.process.poll() is None:
        stopped.kill()
    stopped.start()
    leader.start()
    time.sleep(max(0.0, killed_at + LAST_START_SECONDS - time.monotonic()))
    other.start()


def _check(fleet, operator, record):
    """Read from each core, as the operator does at the end of a day."""
    versions = set()
    ends_at = time.monotonic() + 3.0
    while time.monotonic() < ends_at:
        for core in fleet.cores:
            versions.add(operator.read(core))
        time.sleep(0.5)
    versions.discard(None)
    record(f'acknowledged: version 2; read back: {sorted(versions)}')
    if not versions:
        record('no configuration came: RULE BROKEN')
        return 1
    if min(versions) < 2:
        record('the acknowledged configuration is gone: RULE BROKEN')
        return 1
    record('the rule held')
    return 0


if __name__ == '__main__':
    sys.exit(main())
