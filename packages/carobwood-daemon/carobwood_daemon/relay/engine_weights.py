"""Weights version of each engine, and whether it is loading weights.

Reports about an engine arrive late and from several sources: its
announcements, the headers of its answers, and the order holder, which is
the one VM that may send weights orders to engines. Within one incarnation
an engine's version only increases, so the highest reported version is the
current one.
"""

import dataclasses
import threading

from carobwood import clocks

# Time after which loading is assumed to have ended if no report says so.
MAX_LOADING_SECONDS = 6.0


@dataclasses.dataclass(frozen=True)
class WeightsState:
    """State of one engine's weights.

    Attributes:
        incarnation: incarnation of the engine.
        version: version of its weights, or 0 if unknown.
        report_number: (term, number) of the newest report from an order
            holder; reports are ordered by it.
        loading_until: time at which loading is assumed to have ended, or
            0.0 if the engine is not loading.
    """

    incarnation: int
    version: int = 0
    report_number: tuple[int, int] = (0, 0)
    loading_until: float = 0.0


class EngineWeights:
    """Weights of all engines, and the target version of each model."""

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._states_by_endpoint = {}
        self._target_by_model = {}
        self._target_set_at_by_model = {}
        self._listeners = []

    def on_report(self, listener):
        """Call ``listener(endpoint_id)`` after each newer report.

        Only reports of the order holder count.
        """
        self._listeners.append(listener)

    def raise_targets(self, weights_by_model):
        """Raise the target versions to those in the replicated state."""
        now = self._clock()
        with self._lock:
            for model, version in weights_by_model.items():
                if version > self._target_by_model.get(model, 0):
                    self._target_by_model[model] = version
                    self._target_set_at_by_model[model] = now

    def target_version(self, model):
        """Return the target version of a model, or 0 if there is none."""
        return self._target_by_model.get(model, 0)

    def seconds_since_target_set(self, model):
        """Return the seconds since this VM learnt the target version."""
        set_at = self._target_set_at_by_model.get(model)
        return 0.0 if set_at is None else self._clock() - set_at

    def record_version(self, endpoint, version):
        """Record a version that the engine itself has reported."""
        with self._lock:
            state = self._state_of(endpoint.id, endpoint.incarnation)
            if state is None or version <= state.version:
                return
            self._states_by_endpoint[endpoint.id] = dataclasses.replace(
                state, version=version, loading_until=0.0
            )

    def record_report(
        self, endpoint_id, incarnation, report_number, version, loading
    ):
        """Record a report of the order holder about an engine.

        Args:
            endpoint_id: id of the engine.
            incarnation: incarnation of the engine.
            report_number: (term, number) of the report; a report that is not
                newer than the last one is ignored.
            version: version that the engine has, or is loading.
            loading: whether the engine is loading.

        Returns:
            Whether the report was newer than the last one.
        """
        with self._lock:
            state = self._state_of(endpoint_id, incarnation)
            if state is None or report_number <= state.report_number:
                return False
            until = self._clock() + MAX_LOADING_SECONDS if loading else 0.0
            current = state.version if loading else max(state.version, version)
            self._states_by_endpoint[endpoint_id] = dataclasses.replace(
                state,
                version=current,
                report_number=report_number,
                loading_until=until,
            )
        for listener in self._listeners:
            listener(endpoint_id)
        return True

    def version(self, endpoint):
        """Return the weights version of an engine, or 0 if unknown."""
        state = self._states_by_endpoint.get(endpoint.id)
        if state is None or state.incarnation != endpoint.incarnation:
            return 0
        return state.version

    def is_loading(self, endpoint):
        """Return whether an engine is loading and accepts no requests."""
        state = self._states_by_endpoint.get(endpoint.id)
        if state is None or state.incarnation != endpoint.incarnation:
            return False
        return self._clock() < state.loading_until

    def state(self, endpoint_id):
        """Return the ``WeightsState`` of an engine, or None if unknown."""
        return self._states_by_endpoint.get(endpoint_id)

    def _state_of(self, endpoint_id, incarnation):
        """Return the state to update, or None for an older incarnation."""
        state = self._states_by_endpoint.get(endpoint_id)
        if state is not None and state.incarnation > incarnation:
            return None
        if state is None or state.incarnation < incarnation:
            return WeightsState(incarnation)
        return state
