"""Bases of all errors, and what an error says about a request."""

import enum


class Outcome(enum.Enum):
    """Whether a request ran, as sent in the header ``Carobwood-Outcome``.

    Attributes:
        COMPLETE: the request ran and its response is complete.
        NOT_RUN: no endpoint ran the request; it is safe to send again.
        UNKNOWN: the request may or may not have run.
        PARTIAL: the request ran, but only a part of its response arrived.
    """

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    PARTIAL = 'partial'


class CarobwoodError(Exception):
    """Base of all errors that carobwood reports.

    Attributes:
        code: stable identifier, listed in docs/errors.md.
        status: HTTP status of the error response.
        outcome: whether the request ran.
        retry_after: seconds to wait before a retry, or None if the
            response gives no such hint.
        detail: description of this occurrence.
    """

    code = 'internal_error'
    status = 500
    outcome = Outcome.UNKNOWN
    retry_after = None

    def __init__(self, detail, retry_after=None):
        super().__init__(detail)
        self.detail = detail
        if retry_after is not None:
            self.retry_after = retry_after


class InternalError(CarobwoodError):
    """An unexpected error of the daemon itself; its traceback is logged."""


class RequestRefused(CarobwoodError):
    """Base of the errors that are raised before a request runs."""

    code = 'request_refused'
    status = 400
    outcome = Outcome.NOT_RUN
