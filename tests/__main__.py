"""Runs all tests and prints ``N passed, N failed`` at the end.

``python -m tests [module ...]`` runs the named test modules only, such as
``tests.test_session_tokens``. Tests listed in ``KNOWN-RED.txt`` are known to
fail: they run, and their failures are printed but do not fail the whole run.
"""

import pathlib
import sys
import unittest

import hypothesis

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_FAILURES = _ROOT / 'KNOWN-RED.txt'


def known_failures() -> set[str]:
    """Read the names of the tests that are known to fail.

    :returns: Names such as ``tests.test_x.test_y``.
    """
    lines = _KNOWN_FAILURES.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith('test: ')}


def main() -> int:
    """Run the tests that the command line names, or all of them.

    :returns: The exit code, which is 1 if a test failed unexpectedly.
    """
    hypothesis.settings.register_profile(
        'ci', derandomize=True, deadline=None, database=None
    )
    hypothesis.settings.load_profile('ci')
    names = sys.argv[1:] or _module_names()
    suite = unittest.defaultTestLoader.loadTestsFromNames(names)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    known = known_failures()
    failed = {
        case.shortDescription() or case.id()
        for case, _trace in (*result.failures, *result.errors)
    }
    for name in sorted(known & failed):
        print(f'known red: {name}')
    unexpected = len(failed - known)
    print(f'{result.testsRun - len(failed)} passed, {unexpected} failed')
    return 1 if unexpected else 0


def _module_names() -> list[str]:
    paths = sorted((_ROOT / 'tests').glob('test_*.py'))
    return [f'tests.{path.stem}' for path in paths]


if __name__ == '__main__':
    sys.exit(main())
