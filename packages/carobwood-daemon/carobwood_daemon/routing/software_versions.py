"""Software versions that endpoints of each service have run lately."""

import collections
import dataclasses
import threading

from carobwood import clocks

# Time for which a version counts after its last endpoint is gone. A stream
# that may still be resumed has begun within this time.
LIFETIME_SECONDS = 60.0
# Period of looking at the known endpoints.
SAMPLE_PERIOD_SECONDS = 0.5
# Time between two looks from which versions may have been missed.
MAX_GAP_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class VersionView:
    """What one VM has seen of a service's software versions.

    Attributes:
        versions: the versions that it has seen lately.
        seconds: for how long it has looked without a gap, at most
            ``LIFETIME_SECONDS``.
    """

    versions: frozenset[str]
    seconds: float


class SoftwareVersionHistory:
    """Software versions that this VM has seen lately, by service."""

    def __init__(self, directory, is_in_touch, clock=clocks.now):
        """Begin to look at the endpoints of a directory.

        Args:
            directory: the ``Directory``.
            is_in_touch: function that returns whether this VM hears of all
                endpoints, as it is in contact with the control VMs.
            clock: function that returns the monotonic time in seconds.
        """
        self._directory = directory
        self._is_in_touch = is_in_touch
        self._clock = clock
        self._lock = threading.Lock()
        self._began_at = clock()
        self._sampled_at = self._began_at
        self._seen_at_by_service = collections.defaultdict(dict)
        directory.on_endpoint_change(self._note)

    def sample(self):
        """Note the versions of all endpoints that are known now.

        A VM that stood still or was cut off may have missed some, and
        begins anew.
        """
        now = self._clock()
        with self._lock:
            has_gap = now - self._sampled_at > MAX_GAP_SECONDS
            self._sampled_at = now
            if has_gap or not self._is_in_touch():
                self._began_at = now
        for endpoint in self._directory.endpoints():
            self._note(endpoint)

    def view(self, service):
        """Return the ``VersionView`` of a service."""
        now = self._clock()
        with self._lock:
            began_at = self._began_at
            if now - self._sampled_at > MAX_GAP_SECONDS:
                began_at = now
            versions = frozenset(
                version
                for version, seen_at in self._seen_at_by_service[
                    service
                ].items()
                if now - seen_at <= LIFETIME_SECONDS
            )
        return VersionView(versions, min(LIFETIME_SECONDS, now - began_at))

    def _note(self, endpoint):
        with self._lock:
            seen_at_by_version = self._seen_at_by_service[endpoint.pool]
            seen_at_by_version[endpoint.software_version] = self._clock()
