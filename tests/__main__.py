"""Runs all tests and prints ``N passed, N failed`` at the end.

``python -m tests [module ...]`` runs the named test modules only, such as
``tests.test_session_tokens``. Tests listed in ``KNOWN-RED.txt`` are run and
printed; they do not fail the run. One that passes is printed too, so that its
entry is removed.
"""

import pathlib
import sys
import unittest

import hypothesis

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'


def known_red() -> set[str]:
    """Read the names of tests with a recorded open fault.

    :returns: Names such as ``tests.test_x.test_y``.
    """
    lines = _KNOWN_RED.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith('test: ')}


def main() -> int:
    """Run the tests.

    :returns: The exit code.
    """
    hypothesis.settings.register_profile(
        'ci', derandomize=True, deadline=None, database=None
    )
    hypothesis.settings.load_profile('ci')
    names = sys.argv[1:] or _module_names()
    suite = unittest.defaultTestLoader.loadTestsFromNames(names)
    outcome = unittest.TextTestRunner(verbosity=2).run(suite)
    red = known_red()
    failed = {
        case.shortDescription() or case.id()
        for case, _trace in (*outcome.failures, *outcome.errors)
    }
    for name in sorted(red & failed):
        print(f'known red: {name}')
    fresh = len(failed - red)
    print(f'{outcome.testsRun - len(failed)} passed, {fresh} failed')
    return 1 if fresh else 0


def _module_names() -> list[str]:
    paths = sorted((_ROOT / 'tests').glob('test_*.py'))
    return [f'tests.{path.stem}' for path in paths]


if __name__ == '__main__':
    sys.exit(main())
