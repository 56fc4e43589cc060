"""Claims that let a request run at most once.

A VM opens a claim under the caller's idempotency key before it sends
the request on, and settles the claim with the answer. A repeated request
gets the stored answer.
"""

import msgspec

from . import commands

# Largest body of an answer that is stored with a claim.
MAX_STORED_ANSWER_BYTES = 256 * 1024


class Claim(msgspec.Struct, frozen=True):
    """The right of one attempt to run a request.

    Attributes:
        claim_id: id of the attempt that may run the request.
        body_digest: digest of the request's method, path and body.
        retention_ms: milliseconds from opening until the claim is
            dropped if it is settled.
        opened_ms: fleet time at which the claim was opened.
        answer: the stored answer, or None until the claim is settled.
    """

    claim_id: str
    body_digest: str
    retention_ms: int
    opened_ms: int
    answer: commands.ClaimAnswered | None = None


class ClaimTable(msgspec.Struct):
    """Claims by customer and idempotency key.

    Fleet time advances only by ``AdvanceTime`` commands, which leaders
    derive from a monotonic clock. A step of a VM's wall clock therefore
    never drops a claim early.

    Attributes:
        time_ms: fleet time: milliseconds counted since the log began.
        claims_by_request: claims by (customer, idempotency key), in the
            order in which they were opened.
    """

    time_ms: int = 0
    claims_by_request: dict[tuple[str, str], Claim] = {}

    def apply(self, command):
        """Apply a committed command on claims and return its ``Result``."""
        match command:
            case commands.OpenClaim():
                return self._open(command)
            case commands.SettleClaim():
                return self._settle(command)
            case commands.ReleaseClaim():
                return self._release(command)
            case commands.AdvanceTime(elapsed_ms=elapsed_ms):
                return self._advance(elapsed_ms)
        return commands.Absent(type(command).__name__)

    def _open(self, command):
        request = (command.customer, command.idempotency_key)
        claim = self.claims_by_request.get(request)
        if claim is None:
            self.claims_by_request[request] = Claim(
                command.claim_id,
                command.body_digest,
                command.retention_ms,
                self.time_ms,
            )
            return commands.ClaimGranted()
        if claim.body_digest != command.body_digest:
            return commands.ClaimMismatched()
        if claim.answer is not None:
            return claim.answer
        if claim.claim_id == command.claim_id:
            return commands.ClaimGranted()
        return commands.ClaimUnsettled()

    def _settle(self, command):
        request = (command.customer, command.idempotency_key)
        claim = self.claims_by_request.get(request)
        if claim is None or claim.claim_id != command.claim_id:
            return commands.Absent(command.claim_id)
        if claim.answer is None:
            answer = commands.ClaimAnswered(
                command.status, command.headers, command.body
            )
            claim = msgspec.structs.replace(claim, answer=answer)
            self.claims_by_request[request] = claim
        return claim.answer

    def _release(self, command):
        request = (command.customer, command.idempotency_key)
        claim = self.claims_by_request.get(request)
        if claim is None or claim.claim_id != command.claim_id:
            return commands.Absent(command.claim_id)
        if claim.answer is not None:
            return claim.answer
        del self.claims_by_request[request]
        return commands.ClaimGranted()

    def _advance(self, elapsed_ms):
        self.time_ms += elapsed_ms
        expired = []
        for request, claim in self.claims_by_request.items():
            if claim.opened_ms + claim.retention_ms > self.time_ms:
                # Claims are ordered by opening time, so the rest are
                # newer.
                break
            if claim.answer is not None:
                # A claim without an answer is never dropped: its request
                # may have run, so it must not be granted again.
                expired.append(request)
        for request in expired:
            del self.claims_by_request[request]
        return commands.Applied(0)
