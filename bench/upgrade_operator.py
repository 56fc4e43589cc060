"""The operator of an upgrade run, who changes the configuration."""

import json
import time

import relay_builders
import upgrade_callers
import upgrade_records

CHANGE_PERIOD_SECONDS = 2.5
READ_PERIOD_SECONDS = 0.4
RETRY_SECONDS = 0.2
# A key is withdrawn this number of versions after it was added.
KEY_VERSIONS = 3
# Requests per second and burst of the greedy customer.
GREEDY_RATE = 5
GREEDY_BURST = 10


class Operator:
    """Sends configurations, and reads back what is in force."""

    def __init__(
        self, processes, records, rng, stopped, route_changes_by_name=None
    ):
        """Create the operator.

        Args:
            processes: the ``RelayProcesses``.
            records: the ``Records``.
            rng: random numbers of this part.
            stopped: event that ends the run.
            route_changes_by_name: fields of routes that replace the ones of
                ``relay_builders``, by route name.
        """
        self._processes = processes
        self._records = records
        self._rng = rng
        self._stopped = stopped
        self._route_changes_by_name = route_changes_by_name or {}
        self._contents_by_version = {}

    def put_first(self):
        """Send the first configuration, and wait until it is accepted."""
        while not self._put(1):
            self._stopped.wait(RETRY_SECONDS)

    def change_periodically(self, period_seconds=CHANGE_PERIOD_SECONDS):
        """Send a configuration after the other until the end of the run."""
        version = 1
        while not self._stopped.wait(period_seconds):
            version += 1
            while not self._put(version):
                if self._stopped.wait(RETRY_SECONDS):
                    return

    def read_periodically(self):
        """Read the configuration in force until the end of the run."""
        while not self._stopped.wait(READ_PERIOD_SECONDS):
            vm = self._rng.choice(self._processes.control_vms)
            found = self.read_back(vm)
            if found is not None:
                self._records.read_backs.append(found)

    def read_back(self, vm):
        """Return the ``ReadBack`` of a control VM, or None."""
        sent_at = time.monotonic()
        reply = self._processes.call_control(vm, 'GET', '/v1/config')
        if reply.status != 200:
            return None
        version = json.loads(reply.body)['version']
        is_as_sent = reply.body == self._contents_by_version.get(version)
        return upgrade_records.ReadBack(vm.id, sent_at, version, is_as_sent)

    def _put(self, version):
        """Send a version once and return whether it was acknowledged."""
        content = _configuration(version, self._route_changes_by_name)
        self._contents_by_version[version] = content
        vm = self._rng.choice(self._processes.control_vms)
        reply = self._processes.call_control(vm, 'PUT', '/v1/config', content)
        if reply.status not in (0, 200, 503):
            raise RuntimeError(f'configuration refused: {reply}')
        if reply.status != 200:
            return False
        self._records.changes.append(
            upgrade_records.Change(
                version,
                content,
                key_of(version),
                key_of(version - KEY_VERSIONS),
                time.monotonic(),
            )
        )
        return True


def key_of(version):
    """Return the key that a version adds, or '' below the first one."""
    return f'key-of-version-{version:04d}' if version > 0 else ''


def _configuration(version, route_changes_by_name):
    fields = relay_builders.configuration_fields(version)
    for route in fields['routes']:
        route.update(route_changes_by_name.get(route['name'], {}))
    customer = fields['tenants'][0]
    keys = [key_of(version - age) for age in range(KEY_VERSIONS)]
    customer['api_keys'] = [relay_builders.KEY, *filter(None, keys)]
    greedy = {
        'name': upgrade_callers.GREEDY_CUSTOMER,
        'api_keys': [upgrade_callers.GREEDY_KEY],
        'unit': 'requests',
        'plain_tokens': 1,
        'rate_per_s': GREEDY_RATE,
        'burst': GREEDY_BURST,
    }
    fields['tenants'] = [{**customer, 'rate_per_s': 1e6, 'burst': 1e6}, greedy]
    return json.dumps(fields).encode()
