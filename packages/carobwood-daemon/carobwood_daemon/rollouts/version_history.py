"""Tells software versions that are new to this VM from those that serve.

Endpoints of a new version may be announced before the order of its rollout
has reached this VM. They are held back for a short time, so that the order
can arrive first. Most new versions have no order: their endpoints replace
others one after the other, and have to get requests soon.
"""

import dataclasses

# Time for which a version that is new to this VM is held back. The order of
# its rollout arrives within this time unless this VM is cut off.
HOLD_SECONDS = 3.0
# Time after the first endpoint of a service in which all versions count as
# known, as this VM has just started.
START_SECONDS = 2.0
# Versions of one service that are remembered.
MAX_VERSIONS = 64


@dataclasses.dataclass
class _ServiceVersions:
    """When the versions of a service were first seen."""

    began_at: float
    first_seen_at_by_version: dict


class VersionHistory:
    """Software versions that this VM has seen, by service."""

    def __init__(self):
        self._versions_by_service = {}
        self._newest_at = None

    @property
    def has_new(self):
        """Whether any version was ever new to this VM."""
        return self._newest_at is not None

    def note(self, service, version, now):
        """Note an endpoint; return whether its version is new here."""
        seen = self._versions_by_service.get(service)
        if seen is None:
            seen = _ServiceVersions(now, {})
            self._versions_by_service[service] = seen
        if version in seen.first_seen_at_by_version:
            return False
        seen.first_seen_at_by_version[version] = now
        if len(seen.first_seen_at_by_version) > MAX_VERSIONS:
            oldest = next(iter(seen.first_seen_at_by_version))
            del seen.first_seen_at_by_version[oldest]
        if now - seen.began_at <= START_SECONDS:
            return False
        self._newest_at = now
        return True

    def may_hold(self, now):
        """Return whether any version may be held back now."""
        return self.has_new and now - self._newest_at < HOLD_SECONDS

    def new_versions(self, service, versions, now):
        """Return those of some versions that are new to this VM.

        If all of them are, none counts as new: nothing else serves.

        Args:
            service: name of the service.
            versions: the versions of its endpoints, as a set.
            now: the current time.
        """
        seen = self._versions_by_service.get(service)
        if seen is None or not self.may_hold(now):
            return frozenset()
        found = frozenset(
            version for version in versions if _is_new(seen, version, now)
        )
        return frozenset() if found == versions else found


def _is_new(seen, version, now):
    first_seen_at = seen.first_seen_at_by_version.get(version)
    if first_seen_at is None:
        return False
    if first_seen_at - seen.began_at <= START_SECONDS:
        return False
    return now - first_seen_at < HOLD_SECONDS
