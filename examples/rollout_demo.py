"""Demonstrates rollouts of a service's software on loopback.

``make rollout-demo`` runs it. It starts six VMs and a service whose callers
never pause, rolls a sound version out, and then one that fails in a third of
its answers.
"""

import pathlib
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'bench'))

import rollout_site  # noqa: E402 (needs the path above)

RAMP_SECONDS = 6
PRINT_PERIOD_SECONDS = 1.0
FAILURE_SHARE = 0.3
# Time for which requests are counted after an end.
AFTERWARDS_SECONDS = 3.0


def main():
    """Run the demonstration and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        with rollout_site.RolloutSite(folder) as site:
            print('three control VMs, three entry VMs, version v1 serves')
            is_sound_out = _roll_out(site, 'v2', 0.0) == 'succeeded'
            is_bad_back = _roll_out(site, 'v3', FAILURE_SHARE) == 'rolled_back'
    return 0 if is_sound_out and is_bad_back else 1


def _roll_out(site, version, failure_share):
    """Order a rollout, print how it goes and return its last state."""
    quality = 'is sound'
    if failure_share:
        quality = f'fails in {failure_share:.0%} of its answers'
    print(f'\n== Roll {version} out, which {quality}')
    former = {each.software_version for each in site.endpoints}
    began_at = time.monotonic()
    print('order:', site.order(version, RAMP_SECONDS).status)
    site.add_endpoints(version, failure_share)
    printer = _Printer(site, former, version, began_at)
    state = site.await_end()
    printer.stop()
    printer.print_line(state)
    ended_at = time.monotonic()
    if state == 'succeeded':
        for each in former:
            site.stop_endpoints(each)
    threading.Event().wait(AFTERWARDS_SECONDS)
    exposed = site.count_requests(version, began_at)
    after = site.count_requests(version, ended_at)
    failed = site.count_failed(began_at)
    print(
        f'{state}: {version} got {exposed} requests, {after} of them after '
        f'the end; callers got {failed} errors'
    )
    return state


class _Printer(threading.Thread):
    """Prints the requests of both versions once a second."""

    def __init__(self, site, former, version, began_at):
        super().__init__(daemon=True)
        self._site = site
        self._former = former
        self._version = version
        self._began_at = began_at
        self._printed_at = began_at
        self._stopped = threading.Event()
        self.start()

    def run(self):
        """Print until stopped."""
        while not self._stopped.wait(PRINT_PERIOD_SECONDS):
            self.print_line('running')

    def print_line(self, state):
        """Print the requests since the last line."""
        since, self._printed_at = self._printed_at, time.monotonic()
        target = self._site.count_requests(self._version, since)
        others = sum(
            self._site.count_requests(version, since)
            for version in self._former
        )
        seconds = self._printed_at - self._began_at
        print(
            f'{seconds:5.1f} s  {state:11}  others {others:4}  '
            f'{self._version} {target:4}',
            flush=True,
        )

    def stop(self):
        """Stop and wait until nothing is printed any more."""
        self._stopped.set()
        self.join()


if __name__ == '__main__':
    sys.exit(main())
