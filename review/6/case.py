"""A control machine is replaced as planned; then another loses its disk."""

import json
import os
import pathlib
import shutil
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'fleet2'))

import lab  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# What is done: 'replace' a machine, 'wipe' another one's disk, or replace a
# 'second' one as planned, with successors that started together.
PARTS = os.environ.get('PARTS', 'replace,wipe').split(',')
HOST = 'booths.example'
CATCH_UP_SECONDS = lab.BOUNDS['catch_up_s']
# Time between the end of the machine that is removed and the next loss.
PAUSE_SECONDS = float(os.environ.get('PAUSE', '2.0'))
DOWN_SECONDS = 1.0
# Time that the system has after the disk was lost, recovery_s and more.
ACK_SECONDS = 30.0
READ_SECONDS = 10.0


def configuration(version):
    """Return a configuration."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'r-{version}', 'host': HOST,
                'path_prefix': f'/v{version}/', 'kind': 'safe',
                'timeout_ms': 3000, 'target_latency_ms': 400, 'priority': 1,
                'service': 'app-one', 'max_attempts': 2, 'public': True,
                'sticky': False, 'resumable': False,
            },
        ],
        'services': [
            {
                'name': 'app-one', 'health_path': '/health',
                'max_conns': 100, 'protocol': 'h1', 'tls': False,
            },
        ],
        'limits': lab.LIMITS,
    }


def start_successor(fleet, number):
    """Start an empty machine at a new address in the place of another.

    Returns:
        The machine that it replaces.
    """
    former = fleet.core[number]
    address = f'{former.host.rpartition(".")[0]}.{20 + number}'
    successor = lab.Vm(
        fleet, f'{former.name}-new', address, former.zone, True
    )
    fleet.removed.append(former)
    fleet.core[number] = successor
    successor.start(is_first_start=False)
    return former


def stop_for_good(vm, record):
    """Stop a machine that has been replaced, as the platform does."""
    vm.signal(signal.SIGTERM)
    vm.process.wait(timeout=lab.BOUNDS['grace_s'])
    record.note('removed', vm=vm.name)
    time.sleep(PAUSE_SECONDS)


def lose_disk(vm, record):
    """Take a machine's power and its disk; it comes back without data."""
    vm.signal(signal.SIGKILL)
    vm.process.wait()
    shutil.rmtree(vm.data)
    vm.data.mkdir()
    record.note('disk-lost', vm=vm.name)
    time.sleep(DOWN_SECONDS)
    vm.start(is_first_start=False)


def read_back(fleet, record):
    """Return the version that the control machines answer, or None."""
    ends_at = time.monotonic() + READ_SECONDS
    while time.monotonic() < ends_at:
        for vm in fleet.core:
            try:
                status, _, content = lab.call(
                    vm.host, fleet.control_port, 'GET', '/v1/config',
                    timeout=1.0,
                )
            except OSError as error:
                status, content = 0, repr(error).encode()
            record.note('read', vm=vm.name, status=status, body=content[:90])
            if status == 200:
                return json.loads(content)['version']
        time.sleep(0.5)
    return None


def put(fleet, record, version, seconds):
    """Send a configuration; return whether it was acknowledged."""
    begun_at = time.monotonic()
    try:
        fleet.order('PUT', '/v1/config', configuration(version), seconds)
    except lab.CaseCouldNotRun:
        record.note('not-acknowledged', version=version, seconds=seconds)
        return False
    record.note(
        'put', version=version,
        seconds=f'{time.monotonic() - begun_at:.2f}',
    )
    return True


def main(record):
    """Play the case and return the exit code."""
    fleet = lab.Fleet(record)
    engine = lab.Engine(fleet, 'app-one', lab.ZONES[0])
    try:
        fleet.start()
        engine.start()
        fleet.order('PUT', '/v1/config', configuration(1))
        fleet.await_ready()
        time.sleep(CATCH_UP_SECONDS)
        formers = []
        if TROUBLE and 'replace' in PARTS:
            formers.append(start_successor(fleet, 2))
        if TROUBLE and 'second' in PARTS:
            formers.append(start_successor(fleet, 1))
        if formers:
            time.sleep(CATCH_UP_SECONDS)
            stop_for_good(formers.pop(0), record)
        if not put(fleet, record, 2, lab.BOUNDS['ack_ms'] / 1000):
            raise lab.CaseCouldNotRun('version 2 was not acknowledged')
        if TROUBLE and 'wipe' in PARTS:
            lose_disk(fleet.core[0], record)
        for former in formers:
            stop_for_good(former, record)
        is_acknowledged = put(fleet, record, 3, ACK_SECONDS)
        version = read_back(fleet, record)
        wanted = 3 if is_acknowledged else 2
        print(f'version 2 was acknowledged; version 3: {is_acknowledged}; '
              f'read back '
              f'in the end: {version}')
        record.note('result', third=is_acknowledged, read_back=version)
        return int(version is None or version < wanted)
    finally:
        fleet.close()


lab.exit_with(main)
