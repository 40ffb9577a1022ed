"""A model of terms, acknowledgement, promotion and read floors.

Three databases, two candidates, a few terms and two writes. A message is
delayed or lost by not being delivered; a process that is down or frozen does
not take part. Promises and logs are durable. Where a step is done by the
package, the model calls the package:

- a report counts: :func:`monsoonproxy.quorum.counts_for`;
- a write is acknowledged: :class:`monsoonproxy.quorum.GroupView`;
- a term is granted: :func:`monsoonproxy.elections.granted`;
- a member is promoted: :func:`monsoonproxy.elections.choose_primary`;
- a floor is mapped: :func:`monsoonproxy.quorum.map_position`;
- a member may serve a read: :func:`monsoonproxy.quorum.covers`.

Members are interchangeable, so states are kept with their members sorted.
"""

import functools
import itertools
from collections.abc import Iterator
from typing import Any, NamedTuple

import attrs

from emulator import specification_links as links
from emulator.specification_links import Log
from monsoonproxy import elections, quorum
from monsoonproxy.models import BackendReport, Position

_CANDIDATES = (1, 2)
_START = 0


@attrs.frozen
class Rules:
    """The rules of the protocol; each can be removed.

    :param majority: A write is acknowledged by a majority, not the primary.
    :param refuse_lower: Members refuse lower terms.
    :param one_candidate: Members grant a term to one candidate only.
    :param longest_log: The longest log of a majority is promoted.
    :param same_term: Only logs of the write's own term count for it.
    :param promise: Reports of members that promised a higher term don't count.
    :param old_terms_silent: Members of an old term serve no reads.
    :param floor_check: A read waits for the session's floor.
    :param floor_term: A floor has the term in which it was acknowledged.
    """

    majority: bool = True
    refuse_lower: bool = True
    one_candidate: bool = True
    longest_log: bool = True
    same_term: bool = True
    promise: bool = True
    old_terms_silent: bool = True
    floor_check: bool = True
    floor_term: bool = True


@attrs.frozen
class Bounds:
    """The size of the model.

    :param terms: Terms that each candidate may use, by candidate.
    :param writes: Number of writes.
    :param max_states: Limit of the search.
    :param restarts: Whether primaries restart as replicas.
    """

    terms: tuple[tuple[int, ...], ...] = ((2,), (2, 3))
    writes: int = 2
    max_states: int = 400_000
    restarts: bool = True


class Member(NamedTuple):
    """State of a database, with what others know of it.

    ``seen`` are the log ends, by term, that holders may have counted: every
    report is seen at once: more reports only mean more acknowledgements.
    ``grants`` are the log
    ends in the answers to each candidate's current term. ``sent`` are terms
    and candidates of promotions on their way to it.
    """

    promised: int
    candidate: int
    primary: bool
    source: int
    log: Log
    seen: tuple[tuple[int, int], ...]
    grants: tuple[tuple[int, ...], ...]
    sent: tuple[tuple[int, int], ...]


class State(NamedTuple):
    """State of the model.

    ``candidates`` are the current term of each candidate and whether it has
    sent a promotion. ``logs`` are the logs of the terms' primaries, which are
    what replication messages contain. ``acked`` has the term whose log was
    found on a majority, or 0.
    """

    members: tuple[Member, ...]
    candidates: tuple[tuple[int, bool], ...]
    logs: tuple[tuple[int, Log], ...]
    written: tuple[Position, ...]
    acked: tuple[int, ...]
    twice: bool


Step = tuple[str, State]


def initial(bounds: Bounds) -> State:
    """Return the state with a primary in term 1 and two replicas.

    :param bounds: The size of the model.
    :returns: The state.
    """
    log = ((1, _START),)
    replica = Member(1, 0, False, 1, log, ((1, 1),), ((), ()), ())
    primary = replica._replace(primary=True, source=0)
    return State(
        members=_sorted([primary, replica, replica]),
        candidates=((0, False), (0, False)),
        logs=((1, log),),
        written=(),
        acked=(0,) * bounds.writes,
        twice=False,
    )


def steps(rules: Rules, bounds: Bounds, state: State) -> Iterator[Step]:
    """Return everything that may happen next.

    :param rules: The rules in force.
    :param bounds: The size of the model.
    :param state: The state.
    :yields: Labels and states.
    """
    for label, after in _steps(rules, bounds, state):
        yield label, _observe(rules, after)


def _steps(rules: Rules, bounds: Bounds, state: State) -> Iterator[Step]:
    for index, member in enumerate(state.members):
        yield from _member_steps(rules, bounds, state, index)
        for candidate in _CANDIDATES:
            yield from _grant(rules, bounds, state, (index, candidate))
        if member.sent:
            yield from _promotions(rules, state, index)
    for candidate in _CANDIDATES:
        yield from _choose(rules, state, candidate)


def _member_steps(
    rules: Rules, bounds: Bounds, state: State, index: int
) -> Iterator[Step]:
    member = state.members[index]
    if member.primary:
        yield from _write(bounds, state, index)
        if bounds.restarts:
            yield (
                'a primary restarts',
                _with(state, index, member._replace(primary=False)),
            )
    else:
        yield from _replicate(state, index)
        yield from _follow(rules, state, index)


def _write(bounds: Bounds, state: State, index: int) -> Iterator[Step]:
    number = len(state.written) + 1
    if number > bounds.writes:
        return
    member = state.members[index]
    term = member.log[-1][0]
    log = (*member.log, (term, number))
    written = (*state.written, Position(term, len(log)))
    changed = _with(state, index, member._replace(log=log))
    logs = links.put_log(state.logs, term, log)
    yield (
        f'write {number} at {term}/{len(log)}',
        changed._replace(logs=logs, written=written),
    )


def _replicate(state: State, index: int) -> Iterator[Step]:
    """Deliver any message that the source has sent so far."""
    member = state.members[index]
    source = dict(state.logs).get(member.source, ())
    if not source or member.log[-1][0] > member.source:
        return
    for length in range(1, len(source) + 1):
        log = source[:length]
        if log[-1][0] == member.source and member.log[:length] != log:
            yield (
                f'a replica receives {member.source}/{length}',
                _with(state, index, member._replace(log=log)),
            )


def _follow(rules: Rules, state: State, index: int) -> Iterator[Step]:
    member = state.members[index]
    for term, _log in state.logs:
        refused = rules.refuse_lower and term < member.promised
        if refused or term == member.source or member.log[-1][0] > term:
            continue
        candidate = member.candidate if term == member.promised else 0
        promised = max(term, member.promised)
        follower = member._replace(
            source=term, promised=promised, candidate=candidate
        )
        yield f'a member follows term {term}', _with(state, index, follower)


def _grant(
    rules: Rules, bounds: Bounds, state: State, at: tuple[int, int]
) -> Iterator[Step]:
    """Grant the candidate's term, or its next one, which it thereby takes."""
    index, candidate = at
    taken, _sent = state.candidates[candidate - 1]
    for term in bounds.terms[candidate - 1]:
        if term < taken:
            continue
        granted = _granted(rules, state.members[index], term, candidate)
        if granted is not None:
            asked = state if term == taken else _take(state, candidate, term)
            yield (
                f'a member at {len(granted.log)} grants {term} to {candidate}',
                _record_grant(asked, state.members[index], granted, candidate),
            )


@functools.cache
def _granted(
    rules: Rules, member: Member, term: int, candidate: int
) -> Member | None:
    changed = member
    lower = term < member.promised and not rules.refuse_lower
    if term > member.promised or lower:
        changed = member._replace(
            promised=term, candidate=candidate, primary=False
        )
    elif term == member.promised and not rules.one_candidate:
        changed = member._replace(candidate=candidate)
    is_granted = elections.granted(_report(changed), term, str(candidate))
    return changed if is_granted and changed != member else None


def _take(state: State, candidate: int, term: int) -> State:
    members = [_forget(member, candidate) for member in state.members]
    candidates = links.put(state.candidates, candidate - 1, (term, False))
    return state._replace(members=_sorted(members), candidates=candidates)


@functools.cache
def _forget(member: Member, candidate: int) -> Member:
    return member._replace(grants=links.put(member.grants, candidate - 1, ()))


def _record_grant(
    state: State, member: Member, granted: Member, candidate: int
) -> State:
    sent = state.candidates[candidate - 1][1]
    before = member
    if member not in state.members:
        before = _forget(member, candidate)
    if not sent:
        end = elections.log_end(_report(granted))
        grants = links.put(granted.grants, candidate - 1, end)
        granted = granted._replace(grants=grants)
    return _with(state, state.members.index(before), granted)


def _choose(rules: Rules, state: State, candidate: int) -> Iterator[Step]:
    """Promote, on the answers of any majority, a member with the best log."""
    term, sent = state.candidates[candidate - 1]
    if sent:
        return
    granted = {
        index: end
        for index, member in enumerate(state.members)
        if (end := member.grants[candidate - 1])
    }
    after = state._replace(
        members=tuple(_forget(other, candidate) for other in state.members),
        candidates=links.put(state.candidates, candidate - 1, (term, True)),
    )
    for index in _targets(rules, granted):
        member = after.members[index]
        order = (term, candidate)
        changed = member._replace(sent=tuple(sorted({*member.sent, order})))
        yield (
            f'candidate {candidate} sends a promotion in {term}',
            _with(after, index, changed),
        )


def _targets(rules: Rules, granted: dict[int, tuple[int, ...]]) -> set[int]:
    targets: set[int] = set()
    for size in range(links.NEEDED, len(granted) + 1):
        for answered in itertools.combinations(granted, size):
            ends = {index: granted[index] for index in answered}
            best = ends[answered[0]]
            if rules.longest_log:
                best = links.best_end(tuple(ends.values()))
                ends = {at: end for at, end in ends.items() if end == best}
            targets.update(ends)
    return targets


def _promotions(rules: Rules, state: State, index: int) -> Iterator[Step]:
    member = state.members[index]
    for order in member.sent:
        term = order[0]
        promise = (member.promised, member.candidate)
        if rules.refuse_lower and promise != order:
            continue
        if member.log[-1][0] >= term:
            continue
        log = (*member.log, (term, _START))
        rest = tuple(other for other in member.sent if other != order)
        changed = member._replace(log=log, primary=True, source=0, sent=rest)
        yield (
            f'a member is promoted at {term}/{len(log)}',
            _with(state, index, changed)._replace(
                twice=state.twice or term in dict(state.logs),
                logs=links.put_log(state.logs, term, log),
            ),
        )


def _observe(rules: Rules, state: State) -> State:
    """Let holders see all reports, and acknowledge what they allow."""
    members = tuple([_observed(rules, member) for member in state.members])
    if members == state.members:
        return state
    seen = [dict(member.seen) for member in members]
    acked = tuple(
        state.acked[number] or _acknowledged_in(rules, state, seen, position)
        for number, position in enumerate(state.written)
    )
    acked += state.acked[len(acked) :]
    return state._replace(members=_sorted(members), acked=acked)


@functools.cache
def _observed(rules: Rules, member: Member) -> Member:
    report = _report(member)
    if rules.promise and not quorum.counts_for(report, report.log_term):
        return member
    seen = {**dict(member.seen), report.log_term: report.received}
    return member._replace(seen=tuple(seen.items()))


def _acknowledged_in(
    rules: Rules,
    state: State,
    seen: list[dict[int, int]],
    position: Position,
) -> int:
    """Return the first term in which a holder may acknowledge a write."""
    if not rules.majority:
        return position.term
    if not rules.same_term:
        offsets = [max(ends.values()) for ends in seen]
        reached = [offset for offset in offsets if offset >= position.offset]
        return position.term if len(reached) >= links.NEEDED else 0
    for term, log in state.logs:
        ends = tuple(sorted([known.get(term, 0) for known in seen]))
        lineage = links.term_starts(log)
        if links.is_acknowledged((term, lineage), ends, position):
            return term
    return 0


@functools.cache
def _report(member: Member) -> BackendReport:
    return links.build_report(
        member.promised,
        str(member.candidate),
        member.log[-1][0],
        len(member.log),
    )


def _sorted(members: Any) -> tuple[Member, ...]:
    return tuple(sorted(members))


def _with(state: State, index: int, member: Member) -> State:
    return state._replace(
        members=_sorted(links.put(state.members, index, member))
    )
