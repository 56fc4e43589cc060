"""Spreads the weights of engines with several models.

Announcements and the order holder's reports have room for one version an
engine and name no model. What they lack travels in envelopes, which earlier
builds pass on as they are (``foreign_records``); nothing is sent for an engine
with a single model.
"""

import msgspec

from ..membership import foreign_records

VERSION_KIND = 'model-weights'
LOAD_KIND = 'model-load'
# Time for which a version is passed on unless its engine announces it again.
VERSION_LIFETIME_SECONDS = 3600.0
# A version that is announced again is written again after this time.
VERSION_RENEWAL_SECONDS = 1800.0
# A load has ended, or counts as ended, after that.
LOAD_LIFETIME_SECONDS = 10.0
# Versions, sequences, terms and numbers up to 2**31 - 1 make up an order.
_HALF_BITS = 31
_HALF_MAX = 2**_HALF_BITS - 1


class VersionBody(msgspec.Struct, frozen=True, array_like=True):
    """An engine's version of a model.

    Attributes:
        endpoint_id: id of the engine; the envelope has its incarnation.
        model: name of the model.
        version: version of its weights.
    """

    endpoint_id: str
    model: str
    version: int


class LoadBody(msgspec.Struct, frozen=True, array_like=True):
    """The model that a load concerns.

    Attributes:
        endpoint_id: id of the engine; the envelope has its incarnation.
        term: term of the report on the start of the load.
        number: number of that report.
        model: name of the model.
    """

    endpoint_id: str
    term: int
    number: int
    model: str


_version_decoder = msgspec.msgpack.Decoder(VersionBody)
_load_decoder = msgspec.msgpack.Decoder(LoadBody)


class ModelRecords:
    """Writes and reads the envelopes of engines with several models."""

    def __init__(self, weights, envelopes, on_news):
        """Subscribe to what is reported here and what others send.

        Args:
            weights: the ``EngineWeights``.
            envelopes: the ``ForeignRecords``.
            on_news: called without arguments after a version has arrived.
        """
        self._weights = weights
        self._envelopes = envelopes
        self._on_news = on_news
        envelopes.read_kind(VERSION_KIND, self._read_version)
        envelopes.read_kind(LOAD_KIND, self._read_load)
        weights.on_models(self._write_versions)
        weights.on_load_model(self._write_load)

    def _write_versions(self, endpoint, versions_by_model):
        for model, version in versions_by_model.items():
            if version <= _HALF_MAX:
                self._write_version(endpoint, model, version)

    def _write_version(self, endpoint, model, version):
        key = f'{endpoint.id}/{model}'
        # Versions rise within an incarnation; the sequence only renews.
        number = version << _HALF_BITS
        known = self._envelopes.find(VERSION_KIND, key)
        if known is not None and known.incarnation == endpoint.incarnation:
            seconds_left = known.lifetime_ms / 1000
            is_fresh = seconds_left > VERSION_RENEWAL_SECONDS
            if is_fresh and known.number >= number:
                return
        body = VersionBody(endpoint.id, model, version)
        self._envelopes.write(
            foreign_records.ForeignRecord(
                VERSION_KIND,
                key,
                endpoint.incarnation,
                number + min(endpoint.sequence, _HALF_MAX),
                int(1000 * VERSION_LIFETIME_SECONDS),
                msgspec.msgpack.encode(body),
            )
        )

    def _write_load(self, endpoint, report_number, model):
        term, number = report_number
        body = LoadBody(endpoint.id, term, number, model)
        self._envelopes.write(
            foreign_records.ForeignRecord(
                LOAD_KIND,
                endpoint.id,
                endpoint.incarnation,
                (term << _HALF_BITS) + min(number, _HALF_MAX),
                int(1000 * LOAD_LIFETIME_SECONDS),
                msgspec.msgpack.encode(body),
            )
        )

    def _read_version(self, envelope):
        body = _version_decoder.decode(envelope.body)
        self._weights.merge_model(
            body.endpoint_id, envelope.incarnation, body.model, body.version
        )
        self._on_news()

    def _read_load(self, envelope):
        body = _load_decoder.decode(envelope.body)
        self._weights.merge_load_model(
            body.endpoint_id,
            envelope.incarnation,
            (body.term, body.number),
            body.model,
        )
