"""Runs test functions with shared fixtures under ``unittest``.

A fixture is a generator function, sync or async, that yields its value once.
The parameters of test functions and fixtures name the fixtures that they use.
"""

import asyncio
import contextlib
import inspect
import sys
import unittest
from collections.abc import Callable
from typing import Any

import uvloop

from monsoonproxy.clock import Clock, Millis

#: Time in s after which a test fails; far above the time that any test takes.
_TEST_TIMEOUT_S = 120

_fixtures: dict[str, Callable[..., Any]] = {}


class ManualClock(Clock):
    """A clock whose time the tests set."""

    def __init__(self) -> None:
        self.time = Millis(1_000)

    def now(self) -> Millis:
        """Return the time that was set."""
        return self.time


def fixture(function: Callable[..., Any]) -> Callable[..., Any]:
    """Register a fixture under the name of its function.

    :param function: A generator function that yields once.
    :returns: The same function.
    """
    _fixtures[function.__name__] = function
    return function


def load_functions(module_name: str) -> Callable[..., unittest.TestSuite]:
    """Return a ``load_tests`` hook for the test functions of a module.

    :param module_name: The module's ``__name__``.
    :returns: The hook that ``unittest`` calls.
    """

    def load_tests(*_protocol: Any) -> unittest.TestSuite:
        module = sys.modules[module_name]
        suite = unittest.TestSuite()
        for name, function in vars(module).items():
            if name.startswith('test_') and inspect.isfunction(function):
                suite.addTest(_make_case(module_name, name, function))
        return suite

    return load_tests


def _make_case(
    module_name: str, name: str, function: Callable[..., Any]
) -> unittest.FunctionTestCase:
    case = unittest.FunctionTestCase(
        lambda: _run_test(function), description=f'{module_name}.{name}'
    )
    return case


def _run_test(function: Callable[..., Any]) -> None:
    uvloop.install()
    asyncio.run(_run_with_fixtures(function))


async def _run_with_fixtures(function: Callable[..., Any]) -> None:
    async with contextlib.AsyncExitStack() as stack:
        arguments = await _resolve_fixtures(function, stack, {})
        # A test that waits forever because of a fault must fail.
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            outcome = function(**arguments)
            if inspect.isawaitable(outcome):
                await outcome


async def _resolve_fixtures(
    function: Callable[..., Any],
    stack: contextlib.AsyncExitStack,
    cache: dict[str, Any],
) -> dict[str, Any]:
    names = list(inspect.signature(function).parameters)
    for name in names:
        if name not in cache:
            factory = _fixtures[name]
            arguments = await _resolve_fixtures(factory, stack, cache)
            cache[name] = await _enter_fixture(factory, arguments, stack)
    return dict(zip(names, map(cache.__getitem__, names), strict=True))


async def _enter_fixture(
    factory: Callable[..., Any],
    arguments: dict[str, Any],
    stack: contextlib.AsyncExitStack,
) -> Any:
    if inspect.isasyncgenfunction(factory):
        manager = contextlib.asynccontextmanager(factory)(**arguments)
        return await stack.enter_async_context(manager)
    return stack.enter_context(contextlib.contextmanager(factory)(**arguments))
