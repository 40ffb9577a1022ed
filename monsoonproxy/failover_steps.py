"""Runs failover commands on the backend servers and the table service."""

from collections.abc import Mapping

from monsoonproxy import failover_events, term_claims
from monsoonproxy.backends import Backend
from monsoonproxy.exceptions import BackendError, ConnectionLostError
from monsoonproxy.logs import log_for

_log = log_for('failover')


class StepRunner:
    """Runs the commands of a failover and reports how they ended.

    :param service: Name of the service.
    :param backends: Backend servers by name; the group may change the mapping.
    :param claim: Claims terms in the table service.
    """

    def __init__(
        self,
        service: str,
        backends: Mapping[str, Backend],
        claim: term_claims.TermClaims,
    ) -> None:
        self._service = service
        self._backends = backends
        self._claim = claim

    async def run(
        self, command: failover_events.Command
    ) -> failover_events.Event | None:
        """Run one command.

        :param command: The command.
        :returns: An event that tells how it ended, or ``None`` for a command
            that no server or table service takes part in.
        """
        if isinstance(command, failover_events.ClaimTerm):
            _log.info(
                '{}: Claiming term {} in the table service',
                self._service,
                command.term,
            )
            return await self._claim.claim(self._service, command.term)
        if isinstance(command, failover_events.SetTerm):
            return await self._set_term(command)
        if isinstance(command, failover_events.Promote):
            _log.info(
                '{}: Promoting {} in term {}',
                self._service,
                command.name,
                command.term,
            )
            return await self._promote(command)
        if isinstance(command, failover_events.Follow):
            return await self._follow(command)
        return None

    async def _set_term(
        self, command: failover_events.SetTerm
    ) -> failover_events.Event:
        try:
            async with self._backends[
                command.name
            ].failover_connection() as conn:
                report = await conn.set_term(
                    command.term, self._claim.candidate
                )
        except (ConnectionLostError, BackendError):
            return failover_events.TermFailed(command.name)
        return failover_events.TermAnswered(command.name, report)

    async def _promote(
        self, command: failover_events.Promote
    ) -> failover_events.Event:
        try:
            async with self._backends[
                command.name
            ].failover_connection() as conn:
                report = await conn.promote(command.term, self._claim.candidate)
        except (ConnectionLostError, BackendError) as exc:
            _log.warning(
                '{}: Promotion of {} in term {} failed: {}',
                self._service,
                command.name,
                command.term,
                exc,
            )
            return failover_events.PromoteFailed(command.name)
        return failover_events.Promoted(command.name, report)

    async def _follow(
        self, command: failover_events.Follow
    ) -> failover_events.Event:
        source = self._backends[command.source_name].address
        try:
            async with self._backends[
                command.name
            ].failover_connection() as conn:
                report = await conn.follow(command.term, source)
        except (ConnectionLostError, BackendError):
            return failover_events.FollowFailed(command.name)
        return failover_events.Followed(command.name, report)
