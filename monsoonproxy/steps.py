"""Steps of a failover on the backend servers and the table service."""

from collections.abc import Mapping

from monsoonproxy import claims, signals
from monsoonproxy.backends import Backend
from monsoonproxy.exceptions import BackendError, ConnectionLostError
from monsoonproxy.logs import log_for

_log = log_for('failover')


class Steps:
    """Runs the steps that a failover asks for.

    :param service: Name of the service.
    :param backends: Backend servers by name; may change later.
    :param claim: Claims terms in the table service.
    """

    def __init__(
        self,
        service: str,
        backends: Mapping[str, Backend],
        claim: claims.TermClaims,
    ) -> None:
        self._service = service
        self._backends = backends
        self._claim = claim

    async def run(self, command: signals.Command) -> signals.Event | None:
        """Run one step.

        :param command: The step.
        :returns: How it ended, or ``None`` if it is no step.
        """
        if isinstance(command, signals.ClaimTerm):
            _log.info('{}: Claiming term {}', self._service, command.term)
            return await self._claim.claim(self._service, command.term)
        if isinstance(command, signals.SetTerm):
            return await self._set_term(command)
        if isinstance(command, signals.Promote):
            _log.info('{}: Promoting {}', self._service, command.name)
            return await self._promote(command)
        if isinstance(command, signals.Follow):
            return await self._follow(command)
        return None

    async def _set_term(self, command: signals.SetTerm) -> signals.Event:
        try:
            async with self._backends[
                command.name
            ].failover_connection() as conn:
                report = await conn.set_term(
                    command.term, self._claim.candidate
                )
        except (ConnectionLostError, BackendError):
            return signals.TermFailed(command.name)
        return signals.TermAnswered(command.name, report)

    async def _promote(self, command: signals.Promote) -> signals.Event:
        try:
            async with self._backends[
                command.name
            ].failover_connection() as conn:
                report = await conn.promote(command.term, self._claim.candidate)
        except (ConnectionLostError, BackendError) as exc:
            _log.warning('{}: Promotion failed: {}', self._service, exc)
            return signals.PromoteFailed(command.name)
        return signals.Promoted(command.name, report)

    async def _follow(self, command: signals.Follow) -> signals.Event:
        source = self._backends[command.source_name].address
        try:
            async with self._backends[
                command.name
            ].failover_connection() as conn:
                report = await conn.follow(command.term, source)
        except (ConnectionLostError, BackendError):
            return signals.FollowFailed(command.name)
        return signals.Followed(command.name, report)
