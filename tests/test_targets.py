"""Tests of the stated targets, on short runs of the experiments."""

from emulator import experiment_burst, experiment_routing
from emulator.virtual_load import DEPLOYMENTS, GQEBERHA
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def test_burst() -> None:
    """Guards against answers lost in a burst, and against wrong refusals."""
    for size in DEPLOYMENTS:
        trial = experiment_burst.Trial(size, 'admission', 7, length=1500)
        found = experiment_burst.run_trial(trial)
        assert found['value'] * 100 >= found['bound'] * 95
        assert found['wrong_refusals'] == 0


def test_load_below_capacity() -> None:
    """Guards against refusals while everything can be served in time."""
    trial = experiment_burst.Trial(GQEBERHA, 'admission', 7, 0.9, 1500)
    found = experiment_burst.run_trial(trial)
    assert found['share_in_time'] == 1
    assert not found['refused']


def test_replica_share() -> None:
    """Guards against reads kept from replicas, and against stale answers."""
    todo = [
        trial
        for trial in experiment_routing.trials('router')
        if trial.size is GQEBERHA and trial.shape == 'jittered'
    ]
    found = list(map(experiment_routing.run_trial, todo[::8]))
    assert not sum(count['violations'] for count in found)
    served = sum(count['replica'] for count in found)
    assert served >= 0.97 * sum(count['limit'] for count in found)
