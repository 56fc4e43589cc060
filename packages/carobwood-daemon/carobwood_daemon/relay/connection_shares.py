"""This VM's share of the connections that endpoints accept.

Load pattern: an endpoint accepts a fixed number of connections from all VMs
together, and fewer while its queue is long; it resets the others. Sixty or
more VMs, which do not know their exact number, each keep idle connections for
later. In a surge these fill the limit, and requests are reset on new
connections, where it is not known whether they have run.

All VMs get equal shares, and a part is left for VMs that have just started or
have vanished with their connections, and for the calls of the VMs' own. A VM
uses its share as its requests need it: it keeps no more idle connections than
requests lately reused at a time. An endpoint that resets a connection gets no
new one for a while, and less than the equal share until it has accepted some.

No VM asks another one: requests in flight are bounded by the capacity of the
endpoint, which is far below its limit, so that idle connections are what has
to be bounded.
"""

import dataclasses
import math
import random
import threading

from carobwood import clocks
from carobwood import events

# Part of an endpoint's limit that the known VMs share. The rest is left for
# VMs that are not known yet or no longer, and for polls and other calls.
SHARED_FRACTION = 0.75
# Connections that a VM may have in use at once, however small its share is:
# the capacity of the endpoint bounds those of all VMs together.
MIN_IN_USE = 2
# Idle connections to an endpoint that are kept at most.
MAX_IDLE = 16
# Time for which the number of connections that were reused at a time counts.
USE_WINDOW_SECONDS = 6.0
# Time without new connections after a reset; it doubles with each further one.
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
# Part of a back-off that is drawn at random, so that VMs come back in turn.
BACKOFF_JITTER = 0.5
# Bounds of the part of the equal share that is left after resets, and the
# time in which a share grows from nothing to the whole again.
MIN_SHARE_FACTOR = 0.125
SHARE_RECOVERY_SECONDS = 10.0
# Time after a reset in which a new connection is watched before it is used.
WARY_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class EndpointLimit:
    """How many connections an endpoint accepts from all VMs together.

    Attributes:
        max_connections: the limit, or 0 if the configuration names none.
        kind: name of the kind of the endpoint in metrics.
    """

    max_connections: int
    kind: str = ''


@dataclasses.dataclass(frozen=True)
class _Pressure:
    """Resets of connections by one endpoint.

    Attributes:
        factor: part of the equal share that was left at the last reset.
        reset_at: time of the last reset.
        streak: back-offs since a connection was last accepted.
        closed_until: time until which no new connection is made.
    """

    factor: float
    reset_at: float
    streak: int
    closed_until: float


@dataclasses.dataclass(frozen=True)
class _Use:
    """Connections that were reused at a time, in two windows.

    Attributes:
        began_at: when the current window began.
        peak: most in the current window.
        last_peak: most in the window before.
    """

    began_at: float
    peak: int
    last_peak: int


class ConnectionShares:
    """Decides how many connections this VM has to each endpoint."""

    def __init__(self, find_limits, count_vms, clock=clocks.now, rng=None):
        """Create the table.

        Args:
            find_limits: function that returns the ``EndpointLimit`` of each
                endpoint that serves, by address.
            count_vms: function that returns the number of known entry VMs.
            clock: function that returns the monotonic time in seconds.
            rng: the ``random.Random`` of the jitter, or None.
        """
        self._find_limits = find_limits
        self._count_vms = count_vms
        self._clock = clock
        self._random = rng or random.Random()
        self._lock = threading.Lock()
        self._limits_by_address = {}
        self._vm_count = 1
        self._pressure_by_address = {}
        self._use_by_address = {}

    def refresh(self):
        """Read the limits and the number of VMs; forget what is gone."""
        limits = self._find_limits()
        vm_count = max(1, self._count_vms())
        horizon = self._clock() - max(SHARE_RECOVERY_SECONDS, WARY_SECONDS)
        with self._lock:
            self._limits_by_address = limits
            self._vm_count = vm_count
            self._pressure_by_address = {
                address: pressure
                for address, pressure in self._pressure_by_address.items()
                if address in limits and pressure.reset_at > horizon
            }
            self._use_by_address = {
                address: use
                for address, use in self._use_by_address.items()
                if address in limits
            }

    def kind(self, address):
        """Return the kind of the endpoint at an address, maybe empty."""
        limit = self._limits_by_address.get(address)
        return limit.kind if limit else ''

    def max_in_use(self, address):
        """Return how many connections may be in use, maybe infinity."""
        return max(MIN_IN_USE, self._share(address))

    def max_idle(self, address, in_use):
        """Return how many idle connections are kept.

        Args:
            address: ``host:port`` of the endpoint.
            in_use: connections to it that are in use.
        """
        if self.seconds_until_open(address):
            return 0
        unused = self._share(address) - in_use
        wanted = max(1, self._peak(address))
        return max(0, min(unused, wanted, MAX_IDLE))

    def note_use(self, address, reusing):
        """Record that a request has got a connection.

        Args:
            address: ``host:port`` of the endpoint.
            reusing: connections in use by requests that may reuse an old one.
        """
        now = self._clock()
        with self._lock:
            use = self._current_use(address, now)
            self._use_by_address[address] = dataclasses.replace(
                use, peak=max(use.peak, reusing)
            )

    def note_reset(self, address, open_count):
        """Begin a back-off, as an endpoint has reset a new connection.

        Resets of connections that were made before it began belong to it.

        Args:
            address: ``host:port`` of the endpoint.
            open_count: connections that this VM has to it.
        """
        now = self._clock()
        with self._lock:
            pressure = self._pressure_by_address.get(address)
            if pressure is not None and now < pressure.closed_until:
                return
            streak = pressure.streak + 1 if pressure else 1
            seconds = self._draw_backoff(streak)
            factor = max(MIN_SHARE_FACTOR, self._factor(pressure, now) / 2)
            self._pressure_by_address[address] = _Pressure(
                factor, now, streak, now + seconds
            )
        events.emit(
            events.CONNECTIONS_BACKED_OFF,
            address=address,
            seconds=round(seconds, 3),
            resets=streak,
            open=open_count,
            share=self._finite_share(address),
            vms=self._vm_count,
        )

    def note_accepted(self, address):
        """Record that an endpoint has answered on a new connection."""
        with self._lock:
            pressure = self._pressure_by_address.get(address)
            if pressure is not None and pressure.streak:
                self._pressure_by_address[address] = dataclasses.replace(
                    pressure, streak=0
                )

    def seconds_until_open(self, address):
        """Return the seconds for which no new connection may be made."""
        pressure = self._pressure_by_address.get(address)
        if pressure is None:
            return 0.0
        return max(0.0, pressure.closed_until - self._clock())

    def is_wary(self, address):
        """Return whether a new connection may soon be reset."""
        pressure = self._pressure_by_address.get(address)
        if pressure is None:
            return False
        return self._clock() - pressure.reset_at < WARY_SECONDS

    def _finite_share(self, address):
        """Return how many may be in use, or None if there is no limit."""
        share = self.max_in_use(address)
        return None if math.isinf(share) else share

    def _share(self, address):
        limit = self._limits_by_address.get(address)
        if limit is None or not limit.max_connections:
            return math.inf
        factor = self._factor(
            self._pressure_by_address.get(address), self._clock()
        )
        shared = limit.max_connections * SHARED_FRACTION * factor
        return int(shared / self._vm_count)

    def _factor(self, pressure, now):
        if pressure is None:
            return 1.0
        grown = (now - pressure.reset_at) / SHARE_RECOVERY_SECONDS
        return min(1.0, pressure.factor + grown)

    def _draw_backoff(self, streak):
        seconds = FIRST_BACKOFF_SECONDS * 2 ** min(streak - 1, 10)
        seconds = min(MAX_BACKOFF_SECONDS, seconds)
        return seconds * (1 + BACKOFF_JITTER * self._random.random())

    def _peak(self, address):
        with self._lock:
            if address not in self._use_by_address:
                return 0
            use = self._current_use(address, self._clock())
        return max(use.peak, use.last_peak)

    def _current_use(self, address, now):
        use = self._use_by_address.get(address)
        if use is None or now - use.began_at >= 2 * USE_WINDOW_SECONDS:
            return _Use(now, 0, 0)
        if now - use.began_at >= USE_WINDOW_SECONDS:
            return _Use(now, 0, use.peak)
        return use
