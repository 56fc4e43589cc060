"""Tells software versions that are new to this VM from those that serve.

Endpoints of a new version may be announced before the order of its rollout
has reached this VM. They are held back for a short time, so that the order
can arrive first. Most new versions have no order: their endpoints replace
others one after the other, and have to get requests soon.

A VM that loses contact with the control VMs as it learns of a version may
have missed its order, also if the VM has just started.
"""

import dataclasses

# Time for which a version that is new to this VM is held back. The order of
# its rollout arrives within this time unless this VM is cut off.
HOLD_SECONDS = 3.0
# Time after the first endpoint of a service in which all versions count as
# known, as this VM has just started.
START_SECONDS = 2.0
# Time in touch within which an order arrives that was given before the first
# endpoint of its version was announced.
SETTLE_SECONDS = 0.5
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
        # When a service was last found to have a further version.
        self._further_at = None

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
        if len(seen.first_seen_at_by_version) > 1:
            self._further_at = now
        if now - seen.began_at <= START_SECONDS:
            return False
        self._newest_at = now
        return True

    def may_hold(self, now, lost_at=None):
        """Return whether any version may be held back now.

        Args:
            now: the current time.
            lost_at: time of the last contact with the control VMs if this VM
                counts as cut off, or None.
        """
        if self._newest_at is not None:
            if now - self._newest_at < HOLD_SECONDS:
                return True
        return _is_unsettled(self._further_at, lost_at)

    def new_versions(self, service, versions, now, lost_at=None):
        """Return those of some versions that are new to this VM.

        If all of them are, none counts as new: nothing else serves.

        Args:
            service: name of the service.
            versions: the versions of its endpoints, as a set.
            now: the current time.
            lost_at: see ``may_hold``.
        """
        seen = self._versions_by_service.get(service)
        if seen is None or not self.may_hold(now, lost_at):
            return frozenset()
        found = frozenset(
            version
            for version in versions
            if _is_new(seen, version, now, lost_at)
        )
        return frozenset() if found == versions else found


def _is_unsettled(seen_at, lost_at):
    """Return whether contact was lost as something became known."""
    if seen_at is None or lost_at is None:
        return False
    return seen_at > lost_at - SETTLE_SECONDS


def _is_new(seen, version, now, lost_at):
    first_seen_at = seen.first_seen_at_by_version.get(version)
    if first_seen_at is None:
        return False
    if _is_unsettled(first_seen_at, lost_at):
        return True
    if first_seen_at - seen.began_at <= START_SECONDS:
        return False
    return now - first_seen_at < HOLD_SECONDS
