"""Checks the specification exhaustively within its bounds.

``python -m emulator.specification_checks`` checks the full rules, then each
version with one rule removed, and prints the shortest counterexample of each.
"""

import functools
import gc
import itertools
import sys
import time
from collections.abc import Collection
from concurrent import futures
from typing import Any

import attrs
import minicheck

from emulator import specification_links as links
from emulator.specification import Bounds, Rules, State, initial, steps
from emulator.specification_links import Log
from monsoonproxy.models import Position

LOST = 'no acknowledged write is lost'
CONFLICT = 'no acknowledgement in a replaced term'
PRIMARY = 'one primary per term'
FLOOR = 'reads reflect the floor'
REACHED = 'floors can be reached'

_PROCESSES = 3
_COMPETING = ((2,), (2,))
_SUCCESSIVE = ((2,), (3,))


@attrs.frozen
class Case:
    """A search.

    :param rules: The rules in force.
    :param bounds: The size of the model.
    :param violated: The invariant that must be violated, if any.
    """

    rules: Rules
    bounds: Bounds
    violated: str | None = None


def _removed(rule: str, violated: str, bounds: Bounds) -> tuple[str, Case]:
    rules = attrs.evolve(Rules(), **{rule: False})
    return f'without {rule}', Case(rules, bounds, violated)


_SMALL = Bounds(_COMPETING, 1, max_states=20_000)
_LARGER = Bounds(_SUCCESSIVE, 1, max_states=120_000, restarts=False)

CASES: dict[str, Case] = dict(
    [
        ('two terms', Case(Rules(), Bounds(_SUCCESSIVE, 2))),
        ('one term, two candidates', Case(Rules(), Bounds(_COMPETING, 2))),
        _removed('majority', LOST, _SMALL),
        _removed('refuse_lower', LOST, _LARGER),
        _removed('one_candidate', PRIMARY, _SMALL),
        _removed('longest_log', LOST, _SMALL),
        _removed('same_term', LOST, _SMALL),
        _removed('promise', LOST, _SMALL),
        _removed('old_terms_silent', FLOOR, _LARGER),
        _removed('floor_check', FLOOR, _SMALL),
        _removed('floor_term', FLOOR, _LARGER),
    ],
)


def build(rules: Rules, bounds: Bounds) -> minicheck.Protocol:
    """Build the model.

    :param rules: The rules in force.
    :param bounds: The size of the model.
    :returns: The model.
    """
    return minicheck.Protocol(
        name='failover',
        candidate=False,
        fields=('state',),
        initial=(initial(bounds),),
        transitions=lambda wrapped: [
            (label, (state,)) for label, state in steps(rules, bounds, *wrapped)
        ],
        invariants={
            LOST: _on_state(keeps_writes),
            CONFLICT: _on_state(agrees),
            PRIMARY: _on_state(_has_one_primary),
            FLOOR: _on_state(functools.partial(reads_reflect_floor, rules)),
            REACHED: _on_state(floors_are_reached),
        },
    )


def check(case: Case) -> dict[str, Any]:
    """Search all reachable states.

    :param case: What to search.
    :returns: The result of ``minicheck.check_safety``, with its duration.
    """
    # Nothing is freed during a search, so collections only cost time.
    gc.disable()
    start = time.monotonic()
    try:
        result = minicheck.check_safety(
            build(case.rules, case.bounds), max_states=case.bounds.max_states
        )
    finally:
        gc.enable()
    return {**result, 'seconds': round(time.monotonic() - start, 1)}


def check_all(names: Collection[str] = ()) -> dict[str, dict[str, Any]]:
    """Search several cases at the same time.

    :param names: Names of cases; all if empty.
    :returns: The results by name.
    """
    chosen = list(names or CASES)
    with futures.ProcessPoolExecutor(_PROCESSES) as pool:
        found = pool.map(check, [CASES[name] for name in chosen])
        return dict(zip(chosen, found, strict=True))


def trace(result: dict[str, Any], invariant: str) -> list[str]:
    """Return the shortest way to a violation.

    :param result: The result of a search.
    :param invariant: The violated invariant.
    :returns: The steps; none if no violation was found.
    """
    states = result['properties'][invariant]['counterexample'] or []
    return [state['label'] for state in states[1:]]


def is_expected(case: Case, result: dict[str, Any]) -> bool:
    """Tell whether a search ended as it must.

    :param case: What was searched.
    :param result: The result.
    :returns: Whether all invariants hold in all states or, if a rule was
        removed, whether the violation was found.
    """
    if case.violated is not None:
        return bool(trace(result, case.violated))
    held = [found['holds'] for found in result['properties'].values()]
    return result['exhaustive'] and all(held)


def keeps_writes(state: State) -> bool:
    """Tell whether later primaries have all acknowledged writes.

    :param state: A state.
    :returns: Whether no acknowledged write is lost.
    """
    return all(
        _has(log, state, number)
        for number, acked_in in enumerate(state.acked)
        for term, log in state.logs
        if acked_in and term > acked_in
    )


def agrees(state: State) -> bool:
    """Tell whether the logs of the terms with acknowledgements agree.

    :param state: A state.
    :returns: Whether no write was acknowledged against a later term's log.
    """
    latest = max(state.acked)
    log = dict(state.logs).get(latest, ())
    return all(
        _has(log, state, number)
        for number, acked_in in enumerate(state.acked)
        if acked_in
    )


def reads_reflect_floor(rules: Rules, state: State) -> bool:
    """Tell whether members that may serve a read have what it must reflect.

    :param rules: The rules in force.
    :param state: A state.
    :returns: Whether this holds for each term that a holder may know.
    """
    acked = [number for number, term in enumerate(state.acked) if term]
    reads = itertools.product(acked, state.logs, state.members)
    return all(
        _has(member.log, state, number)
        for number, known, member in reads
        if _may_serve(rules, member.log, known, _floor(rules, state, number))
    )


def floors_are_reached(state: State) -> bool:
    """Tell whether floors of writes that were never acknowledged end.

    :param state: A state.
    :returns: Whether each primary has its mapped floors of earlier terms.
    """
    return all(
        links.may_serve(log, term, links.term_starts(log), position)
        for position in state.written
        for term, log in state.logs
        if term > position.term
    )


def _has_one_primary(state: State) -> bool:
    return not state.twice


def _on_state(predicate: Any) -> Any:
    return lambda fields: predicate(fields['state'])


def _has(log: Log, state: State, number: int) -> bool:
    position = state.written[number]
    entry = (position.term, number + 1)
    return log[position.offset - 1 : position.offset] == (entry,)


def _floor(rules: Rules, state: State, number: int) -> Position:
    position = state.written[number]
    if rules.floor_term:
        return Position(state.acked[number], position.offset)
    return position


def _may_serve(
    rules: Rules, log: Log, known: tuple[int, Log], floor: Position
) -> bool:
    term, primary_log = known
    if not rules.floor_check:
        return log[-1][0] == term
    if not rules.old_terms_silent:
        # Only the term of the member's log is not looked at.
        log = (*log[:-1], (term, 0))
    return links.may_serve(log, term, links.term_starts(primary_log), floor)


def main() -> int:
    """Search all cases and print the results.

    :returns: The exit code.
    """
    failed = 0
    for name, result in check_all().items():
        case = CASES[name]
        failed += not is_expected(case, result)
        states = result['reachable_states']
        print(f'{name}: {states} states in {result["seconds"]} s')
        if case.violated is None:
            print('  all invariants hold:', is_expected(case, result))
            continue
        print(f'  violated: {case.violated}')
        for step in trace(result, case.violated):
            print(f'    {step}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
