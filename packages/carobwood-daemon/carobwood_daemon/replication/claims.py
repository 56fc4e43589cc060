"""Claims of requests that run at most once."""

import msgspec

from . import commands

MAX_ANSWER_BYTES = 256 * 1024


class Claim(msgspec.Struct, frozen=True):
    """The only run of a request.

    Attributes:
        claim_id: the attempt that may run it.
        body_digest: digest of the claimed request.
        retention_ms: age at which a settled claim is dropped.
        opened_ms: fleet time at which it was opened.
        answer: the stored answer, once settled.
    """

    claim_id: str
    body_digest: str
    retention_ms: int
    opened_ms: int
    answer: commands.ClaimAnswered | None = None


class ClaimTable(msgspec.Struct):
    """Claims by customer and idempotency key.

    Time advances only by ``AdvanceTime`` commands, so that no clock step
    drops a claim early. Claims are kept in the order of opening.

    Attributes:
        time_ms: fleet time.
        claims_by_request: claims by (customer, idempotency key).
    """

    time_ms: int = 0
    claims_by_request: dict[tuple[str, str], Claim] = {}

    def apply(self, command):
        """Apply a committed claim command and return its result."""
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
                # Claims are in the order of opening.
                break
            if claim.answer is not None:
                # One without an answer may have run and stays for good.
                expired.append(request)
        for request in expired:
            del self.claims_by_request[request]
        return commands.Applied(0)
