"""Weights versions of each engine, and whether it is loading weights.

Reports about an engine arrive late and from several sources: its
announcements, the headers of its answers, and the order holder, which is
the one VM that may send weights orders to engines. Within one incarnation
an engine's version of a model only increases, so the highest reported version
is the current one.

Reports of earlier builds, and those on engines with a single model, name no
model. They don't count for an engine once several models of it are known by
name.
"""

import dataclasses
import threading

from carobwood import clocks

# Time after which loading is assumed to have ended if no report says so.
MAX_LOADING_SECONDS = 6.0
# Models of one engine whose versions are known by name.
MAX_MODELS = 256


@dataclasses.dataclass(frozen=True)
class WeightsState:
    """State of one engine's weights.

    Attributes:
        incarnation: incarnation of the engine.
        version: version that was reported without a model, or 0 if unknown.
        report_number: (term, number) of the newest report from an order
            holder; reports are ordered by it.
        loading_until: time at which loading is assumed to have ended, or
            0.0 if the engine is not loading.
        versions_by_model: versions that were reported with a model.
        is_named: whether ``versions_by_model`` has all its models, as the
            engine itself has reported them.
        load_number: (term, number) of the report on the start of the load
            whose model is known.
        load_model: model of that load.
    """

    incarnation: int
    version: int = 0
    report_number: tuple[int, int] = (0, 0)
    loading_until: float = 0.0
    versions_by_model: dict[str, int] = dataclasses.field(default_factory=dict)
    is_named: bool = False
    load_number: tuple[int, int] = (0, 0)
    load_model: str = ''

    @property
    def has_several_models(self):
        """Whether the engine is known to have more than one model."""
        return self.is_named and len(self.versions_by_model) > 1

    def find_version(self, model):
        """Return the version of a model, or 0 if unknown."""
        named = self.versions_by_model.get(model, 0)
        if self.has_several_models:
            return named
        return max(named, self.version)

    def loads(self, model):
        """Return whether a load in progress may concern a model."""
        if self.load_number != self.report_number:
            return True
        return model == self.load_model


class EngineWeights:
    """Weights of all engines, and the target version of each model."""

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._states_by_endpoint = {}
        self._target_by_model = {}
        self._target_set_at_by_model = {}
        self._listeners = []
        self._model_listeners = []
        self._load_listeners = []

    def on_report(self, listener):
        """Call ``listener(endpoint_id)`` after each newer report.

        Only reports of the order holder count.
        """
        self._listeners.append(listener)

    def on_models(self, listener):
        """Call ``listener(endpoint, versions_by_model)`` after each report.

        Only reports of an engine itself on several models count.
        """
        self._model_listeners.append(listener)

    def on_load_model(self, listener):
        """Call ``listener(endpoint, number, model)`` as a load begins here."""
        self._load_listeners.append(listener)

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

    def record_version(self, endpoint, version, model=''):
        """Record a version that the engine itself has reported.

        Args:
            endpoint: the ``Endpoint`` of the engine.
            version: version of its weights.
            model: the model, or empty if the report names none.
        """
        with self._lock:
            state = self._state_of(endpoint.id, endpoint.incarnation)
            if state is None:
                return
            if model:
                self._raise_versions(endpoint.id, state, {model: version})
            elif version > state.version:
                # Of several models, it may not be the one that is loaded.
                until = (
                    state.loading_until if state.has_several_models else 0.0
                )
                self._states_by_endpoint[endpoint.id] = dataclasses.replace(
                    state, version=version, loading_until=until
                )

    def record_models(self, endpoint, versions_by_model):
        """Record what the engine itself has reported on all its models.

        Args:
            endpoint: the ``Endpoint`` of the engine.
            versions_by_model: version of each model.
        """
        with self._lock:
            state = self._state_of(endpoint.id, endpoint.incarnation)
            if state is None:
                return
            self._raise_versions(endpoint.id, state, versions_by_model, True)
        if len(versions_by_model) > 1:
            for listener in self._model_listeners:
                listener(endpoint, versions_by_model)

    def merge_model(self, endpoint_id, incarnation, model, version):
        """Merge what another VM knows of an engine with several models."""
        with self._lock:
            state = self._state_of(endpoint_id, incarnation)
            if state is not None:
                self._raise_versions(
                    endpoint_id, state, {model: version}, True
                )

    def record_load_model(self, endpoint, number, model):
        """Record which model a load of this VM concerns.

        Args:
            endpoint: the ``Endpoint`` of the engine.
            number: (term, number) of the report on the start of the load,
                which may arrive later.
            model: the model.
        """
        self.merge_load_model(endpoint.id, endpoint.incarnation, number, model)
        for listener in self._load_listeners:
            listener(endpoint, number, model)

    def merge_load_model(self, endpoint_id, incarnation, number, model):
        """Merge which model a load of another VM concerns."""
        with self._lock:
            state = self._state_of(endpoint_id, incarnation)
            if state is not None and number > state.load_number:
                self._states_by_endpoint[endpoint_id] = dataclasses.replace(
                    state, load_number=number, load_model=model
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

    def version(self, endpoint, model):
        """Return an engine's version of a model, or 0 if unknown."""
        state = self._states_by_endpoint.get(endpoint.id)
        if state is None or state.incarnation != endpoint.incarnation:
            return 0
        return state.find_version(model)

    def versions_by_model(self, endpoint):
        """Return an engine's version of each model.

        Empty if it isn't known by name which models the engine has.
        """
        state = self._states_by_endpoint.get(endpoint.id)
        if state is None or state.incarnation != endpoint.incarnation:
            return {}
        return state.versions_by_model if state.is_named else {}

    def is_loading(self, endpoint, model):
        """Return whether an engine loads a model, or may do so.

        It accepts no requests for the model then. As long as the model of a
        load isn't known, it concerns all of them.
        """
        state = self._states_by_endpoint.get(endpoint.id)
        if state is None or state.incarnation != endpoint.incarnation:
            return False
        return self._clock() < state.loading_until and state.loads(model)

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

    def _raise_versions(self, endpoint_id, state, versions, is_named=False):
        """Raise versions by model; a version never falls."""
        known = state.versions_by_model
        raised = {
            model: version
            for model, version in versions.items()
            if version > known.get(model, 0)
        }
        is_named = is_named or state.is_named
        if len(known.keys() | raised.keys()) > MAX_MODELS:
            return
        if not raised and is_named == state.is_named:
            return
        # The engine has newer weights than before, so their load has ended.
        has_ended = any(
            0 < state.find_version(model) < version and state.loads(model)
            for model, version in raised.items()
        )
        self._states_by_endpoint[endpoint_id] = dataclasses.replace(
            state,
            versions_by_model={**known, **raised},
            is_named=is_named,
            loading_until=0.0 if has_ended else state.loading_until,
        )
