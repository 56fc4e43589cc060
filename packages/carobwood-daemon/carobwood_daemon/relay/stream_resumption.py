"""Decides at which software version a caller's stream goes on.

A caller that lost its connection comes back with the last event that it has
and the request that brought the first one, mostly to another VM. The stream
goes on only at the software version that began it. If that is not known, one
version can be concluded only if no other has served since the stream can have
begun. Otherwise the request is refused at once: a text of two halves
looks whole to the caller.
"""

import dataclasses
import threading

from carobwood import errors
from carobwood import events

from ..routing import software_versions
from ..routing import stream_origins

# Time between two searches for one stream.
SEARCH_PERIOD_SECONDS = 0.1
# Searches for one stream. The record of a stream that has just begun may
# still be on its way at the first one.
SEARCH_COUNT = 2
# The same on a VM that has just started and may know no control VMs yet.
START_SEARCH_COUNT = 10
# Time after its start for which this holds.
START_SECONDS = 2.0
# Greatest age of a stream that is resumed, as a multiple of the route's
# timeout: a caller gives up a stream and all its resumptions by then.
MAX_AGE_IN_TIMEOUTS = 2.0
# Fraction of the remaining time that the searches may take.
SEARCH_SHARE = 0.3


class StreamResumption:
    """Finds the software versions of streams that callers resume."""

    def __init__(self, own_table, finder, history, wait=None):
        """Create the search.

        Args:
            own_table: the ``StreamOriginTable`` of the streams that began on
                this VM.
            finder: the ``StreamOriginFinder``.
            history: the ``SoftwareVersionHistory`` of this VM.
            wait: function that waits for some seconds, or None.
        """
        self._own_table = own_table
        self._finder = finder
        self._history = history
        self._wait = wait or threading.Event().wait
        self._listeners = []

    def on_record(self, listener):
        """Call ``listener()`` after each record of a stream."""
        self._listeners.append(listener)

    def record(self, request, endpoint):
        """Record that the first event of a stream goes to its caller.

        Args:
            request: the ``AdmittedRequest``.
            endpoint: the ``Endpoint`` that sent the event.
        """
        if not request.route.is_resumable or not request.metadata.request_id:
            return
        self._own_table.add(
            stream_origins.StreamKey(
                request.customer_name, request.metadata.request_id
            ),
            stream_origins.StreamOrigin(
                request.service, endpoint.software_version
            ),
        )
        for listener in self._listeners:
            listener()

    def resolve(self, request):
        """Bind a request that resumes a stream to its software version.

        Args:
            request: the ``AdmittedRequest``.

        Returns:
            The request, with the version and the service of the stream.

        Raises:
            StreamVersionUnknown: the version is not known.
        """
        if not request.route.is_resumable or not request.metadata.resume_id:
            return request
        origin, source = self._find(request)
        events.emit(
            events.STREAM_ORIGIN,
            request_id=request.metadata.request_id,
            resumes=request.metadata.resumed_request_id,
            source=source,
            service=origin.service if origin else '',
            software=origin.software_version if origin else '',
        )
        if origin is None:
            raise errors.StreamVersionUnknown(
                'it is not known which software version began the stream'
            )
        return dataclasses.replace(
            request,
            service=origin.service,
            software_version=origin.software_version,
        )

    def _find(self, request):
        """Return the ``StreamOrigin`` or None, and how it was found."""
        key = stream_origins.StreamKey(
            request.customer_name, request.metadata.resumed_request_id
        )
        origin = self._own_table.find(key)
        if self._is_allowed(origin, request.route):
            return origin, 'own'
        origin, views = self._search(key, request)
        if self._is_allowed(origin, request.route):
            return origin, 'control-vm'
        if origin is not None:
            return None, 'other-service'
        version = conclude_version(
            self._history.view(request.service),
            views,
            self._finder.count_control_vms(),
            MAX_AGE_IN_TIMEOUTS * request.route.timeout,
        )
        if version is None:
            return None, 'unknown'
        return (
            stream_origins.StreamOrigin(request.service, version),
            'only-version',
        )

    def _search(self, key, request):
        """Ask control VMs, several times if none of them knows the stream."""
        origin, views = self._finder.ask(key, request.service)
        if not key.request_id:
            return origin, views
        uptime = self._history.view(request.service).seconds
        count = SEARCH_COUNT if uptime > START_SECONDS else START_SEARCH_COUNT
        affordable = SEARCH_SHARE * request.seconds_left
        count = min(count, int(affordable / SEARCH_PERIOD_SECONDS))
        for _ in range(count - 1):
            if origin is not None:
                break
            self._wait(SEARCH_PERIOD_SECONDS)
            origin, views = self._finder.ask(key, request.service)
        return origin, views

    @staticmethod
    def _is_allowed(origin, route):
        return origin is not None and origin.service in {
            share.service for share in route.weighted_services
        }


def conclude_version(own_view, views, control_vm_count, max_age):
    """Return the only version that can have begun a stream, or None.

    A majority of the control VMs must have looked since the stream can have
    begun: one that has just started, or is cut off with this VM, may have
    missed a version.

    Args:
        own_view: the ``VersionView`` of this VM.
        views: those of control VMs.
        control_vm_count: number of known control VMs.
        max_age: greatest age of the stream in seconds.
    """
    needed = min(max_age, software_versions.LIFETIME_SECONDS)
    covered = [view for view in views if view.seconds >= needed]
    if 2 * len(covered) <= control_vm_count:
        return None
    versions = own_view.versions.union(*(view.versions for view in views))
    return next(iter(versions)) if len(versions) == 1 else None
