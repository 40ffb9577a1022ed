"""Claims of terms by candidates, stored in the platform's table service.

A claim only keeps candidates from competing for the same term. Safety rests on
the backend servers, each of which grants a term to one candidate only.
"""

import json

import attrs

from monsoonproxy import failover_events
from monsoonproxy.adapters import PlatformAdapter, Versioned
from monsoonproxy.exceptions import PlatformError, PreconditionError


@attrs.frozen
class _Claim:
    """The latest claim stored for a service; term 0 if there is none."""

    term: int
    candidate: str


class TermClaims:
    """Claims terms for one candidate by conditional writes.

    :param platform: Adapter of the platform.
    :param candidate: Name of this daemon's incarnation.
    """

    def __init__(self, platform: PlatformAdapter, candidate: str) -> None:
        self.candidate = candidate
        self._platform = platform

    async def claim(
        self, service: str, term: int
    ) -> failover_events.ClaimResult:
        """Store the claim of a term unless another candidate has claimed it.

        :param service: Name of the service.
        :param term: The term.
        :returns: Whether the claim was stored, refused or not answered.
        """
        key = f'terms/{service}'
        body = json.dumps({'term': term, 'candidate': self.candidate})
        try:
            refused = await self._try_claim(key, term, body.encode())
        except PreconditionError:
            return await self._lost_race(key, term)
        except PlatformError:
            return failover_events.ClaimFailed()
        return refused or failover_events.TermClaimed(term)

    async def _try_claim(
        self, key: str, term: int, body: bytes
    ) -> failover_events.ClaimRefused | None:
        stored = await self._platform.read(key)
        found = _parse(stored)
        if found.term >= term and found.candidate != self.candidate:
            return failover_events.ClaimRefused(found.term)
        await self._platform.write(key, body, stored.etag if stored else None)
        return None

    async def _lost_race(
        self, key: str, term: int
    ) -> failover_events.ClaimResult:
        try:
            found = _parse(await self._platform.read(key))
        except PlatformError:
            return failover_events.ClaimFailed()
        if found == _Claim(term, self.candidate):
            # An earlier write of this claim took effect; its answer was lost.
            return failover_events.TermClaimed(term)
        return failover_events.ClaimRefused(max(found.term, term))


def _parse(stored: Versioned | None) -> _Claim:
    if stored is None:
        return _Claim(0, '')
    fields = json.loads(stored.body)
    return _Claim(int(fields['term']), str(fields['candidate']))
