"""Tests of the log positions that reads must reflect."""

import random

from monsoonproxy.clock import Millis
from monsoonproxy.floors import Floors
from monsoonproxy.models import Position
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def test_no_recent_sample() -> None:
    """Guards against a read without proof of its freshness (STALE).

    No sample of the primary's position is within the age bound.
    """
    floors = Floors()
    assert floors.required(Millis(1_000), Millis(5_000)) is None
    floors.add(Millis(1_000), Position(1, 3))
    assert floors.required(Millis(1_000), Millis(2_000)) == Position(1, 3)
    assert floors.required(Millis(1_000), Millis(2_001)) is None


def test_floor_covers_the_bound() -> None:
    """Guards against a floor that misses an acknowledged commit (STALE).

    Commits are acknowledged at random times and sampled at random times; a
    floor must cover each commit that is older than the bound.
    """
    for seed in range(300):
        rng = random.Random(seed)
        floors = Floors()
        commits: list[int] = []
        now = 0
        for _ in range(60):
            now += rng.randint(1, 200)
            if rng.randrange(2):
                commits.append(now)
                continue
            sent_at = now - rng.randint(0, 30)
            covered = sum(at <= sent_at for at in commits)
            # The answer may cover later commits as well.
            covered += rng.randint(0, len(commits) - covered)
            floors.add(Millis(sent_at), Position(1, covered))
            bound = rng.choice((500, 1_500, 2_500))
            floor = floors.required(Millis(bound), Millis(now))
            if floor is not None:
                due = sum(at < now - bound for at in commits)
                assert floor.offset >= due


def test_oldest_sample_within_the_bound() -> None:
    """Guards against floors that are higher than the age bound requires.

    Replicas could not serve such reads.
    """
    floors = Floors()
    for number in range(20):
        floors.add(Millis(number * 100), Position(1, number))
    assert floors.required(Millis(1_000), Millis(2_000)) == Position(1, 10)
