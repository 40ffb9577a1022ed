"""Tests of the manuals against the code that they describe."""

import ast
import asyncio
import contextlib
import pathlib
import re
import shlex
import tempfile
import tomllib
from collections.abc import Callable
from typing import Any

import asyncmy
import attrs
import cappa
from asyncmy.errors import MySQLError

from emulator.cluster import Cluster, Site, running
from monsoonproxy import (
    commands,
    configuration,
    daemon,
    daemon_client,
    declarations,
    exposition,
    frontends,
    keys,
    marks,
    models,
    settings,
    statements,
)
from monsoonproxy.cli import Monsoonctl
from monsoonproxy.clock import Clock
from monsoonproxy.metrics import Metrics
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_ROOT = pathlib.Path(__file__).parent.parent
_CALLERS = (_ROOT / 'docs' / 'callers.md').read_text()
_OPERATORS = (_ROOT / 'docs' / 'operators.md').read_text()
_BOTH = f'{_CALLERS}\n{_OPERATORS}'
_NAME = re.compile('`([^`]+)`')
_BLOCK = re.compile(r'^```(\w+)\n(.*?)^```$', re.MULTILINE | re.DOTALL)
_RAISED = re.compile(
    r'(?:error|fail|_turn_away|PacketError)\(\s*([0-9]{4})\b'
    r"|\(([0-9]{4}), '|^_BAD_MARK = ([0-9]{4})$",
    re.MULTILINE,
)
#: ``mysql-mimic`` sends this one after a wrong password.
_ACCESS_DENIED = '1045'
_PROGRAMS: dict[str, type] = {
    'monsoonctl': Monsoonctl,
    'monsoonproxyd': daemon.Arguments,
}
_OTHERS = {'python3.11', '.venv/bin/pip', 'export', 'curl'}
_DECLARED = (
    declarations.Service,
    declarations.Member,
    declarations.ClassRule,
    declarations.User,
    declarations.PlatformRules,
    declarations.MembershipRules,
    declarations.SpreadRules,
    settings.Settings,
)


def _column(text: str, title: str) -> set[str]:
    """Return the names in the first column of the tables with a title."""
    found: set[str] = set()
    for table in re.split(r'\n\n', text):
        rows = table.strip().split('\n')
        if rows[0].startswith(f'| {title} |'):
            for row in rows[2:]:
                first = row.split('|')[1].strip()
                found.update(_NAME.findall(first) or [first])
    return found


def _blocks(language: str) -> list[str]:
    return [code for name, code in _BLOCK.findall(_BOTH) if name == language]


def _toml(title: str) -> str:
    return next(
        code for code in _blocks('toml') if code.startswith(f'# {title}\n')
    )


def _example(driver: str) -> str:
    return next(code for code in _blocks('python') if driver in code[:40])


def _sources() -> str:
    paths = (_ROOT / 'monsoonproxy').rglob('*.py')
    return '\n'.join(path.read_text() for path in paths)


def _status() -> dict[str, Any]:
    gauges = (*exposition._GAUGES, *exposition._SERVICE_GAUGES)
    return {
        **dict.fromkeys(gauges, 0),
        'services': [
            {
                **dict.fromkeys(gauges, 0),
                'service': 'a',
                'reads_by_reason': {'r': 1},
                'members': {'m': {'age_ms': 1}},
            }
        ],
    }


def test_commands() -> None:
    """Guards against commands in the manuals that the tools refuse."""
    lines = '\n'.join(_blocks('sh')).splitlines()
    assert lines
    for name, *arguments in map(shlex.split, filter(None, lines)):
        program = _PROGRAMS.get(name)
        if program is not None:
            cappa.parse(program, argv=arguments)
        else:
            assert name in _OTHERS, name
        if name == 'python3.11' and arguments[0] == '-c':
            ast.parse(arguments[1])
    for path in re.findall(r'\b(?:examples|docs)/[\w.-]+', _BOTH):
        assert _ROOT.joinpath(path).exists(), path


def test_files() -> None:
    """Guards against TOML examples that the programs refuse."""
    for code in _blocks('toml'):
        tomllib.loads(code)
    with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
        file.write(_toml('example: daemon'))
        file.flush()
        settings.load_settings(file.name)
    with tempfile.NamedTemporaryFile('w', suffix='.toml') as base:
        base.write(_toml('example: configuration'))
        base.flush()
        configuration.load(base.name, fencing={'group': True})


def test_metrics() -> None:
    """Guards against metrics that are missing in the manual, or gone."""
    metrics = Metrics(Clock())
    metrics.record('a', 'b', models.Outcome.ANSWERED, Clock().now())
    found = exposition.Collector(metrics, _status).collect()
    names = {sample.name for metric in found for sample in metric.samples}
    assert _column(_OPERATORS, 'metric') == names


def test_marks() -> None:
    """Guards against marks that differ from the code."""
    assert _column(_CALLERS, 'mark') == set(marks.KEYS)


def test_limits() -> None:
    """Guards against limits that differ from the code."""
    limits = frontends.Limits()
    for limit in (
        marks.MAX_AGE,
        marks.MAX_DEADLINE,
        limits.connections,
        limits.handshake,
        commands.MAX_PREPARED,
        statements.MAX_EXAMINED,
    ):
        assert f'{limit:,}' in _CALLERS, limit
    mebibytes = limits.packet // 1024**2
    assert f'Packets: {mebibytes} MiB' in _CALLERS
    delay = keys.ACTIVATION_DELAY // 1000
    assert f'within {delay} s' in _OPERATORS


def test_error_codes() -> None:
    """Guards against error codes that callers can't look up, or never see."""
    text = _sources()
    sent = {max(groups) for groups in _RAISED.findall(text)}
    assert _column(_CALLERS, 'code') == sent | {_ACCESS_DENIED}
    named = set(re.findall(r'(?<![\w,])(?:1[0-9]|41)[0-9]{2}\b', _BOTH))
    assert all(code in text for code in named - {_ACCESS_DENIED}), named


def test_settings() -> None:
    """Guards against settings that the manual leaves out, or that are gone."""
    known = {field.name for kind in _DECLARED for field in attrs.fields(kind)}
    assert _column(_OPERATORS, 'setting') == known


def test_log_prefixes() -> None:
    """Guards against log lines whose prefix the manual doesn't explain."""
    pattern = re.compile(r"^_log = log_for\('(\w+)'\)", re.MULTILINE)
    used = set(pattern.findall(_sources()))
    assert _column(_OPERATORS, 'prefix') == used


async def _until(cluster: Cluster, sql: str) -> None:
    """Run a statement once the site answers."""
    host, port = cluster.daemons[0].address.split(':')
    async with asyncio.timeout(30):
        while True:
            with contextlib.suppress(MySQLError, OSError):
                conn = await asyncmy.connect(
                    host=host,
                    port=int(port),
                    user='yard',
                    database='hire-ledger-1',
                )
                await conn.cursor().execute(sql)
                await conn.ensure_closed()
                return
            await asyncio.sleep(0.1)


def _load(driver: str, cluster: Cluster) -> dict[str, Any]:
    """Run an example's definitions with the addresses of a site."""
    code = _example(driver)
    for number, process in enumerate(cluster.daemons[:2], 1):
        host, port = process.address.split(':')
        code = code.replace(
            f"('10.20.1.{number}', 3306)", f"('{host}', {port})"
        )
        if number == 1:
            code = code.replace("host='10.20.1.1'", f"host='{host}'")
            code = code.replace('port=3306', f'port={port}')
    assert '10.20.' not in code
    names: dict[str, Any] = {'__name__': 'example'}
    exec(code, names)  # noqa: S102,WPS421 - the manual's own example
    return names


async def test_examples_and_status() -> None:
    """Guards against examples that don't run, and status fields unexplained."""
    for code in _blocks('python'):
        ast.parse(code)
    with tempfile.TemporaryDirectory() as name:
        async with running(Site(), pathlib.Path(name)) as cluster:
            await _until(
                cluster,
                'CREATE TABLE bookings (id INT PRIMARY KEY, kind VARCHAR(9))',
            )
            book: Callable[[], Any] = _load('PyMySQL', cluster)['main']
            token, rows = await asyncio.to_thread(book)
            assert list(rows) == [('panel',)]
            enquire = _load('asyncmy', cluster)['enquire']
            assert list(await enquire(token)) == [('panel',)]
            statuses = [
                await daemon_client.ask(each.control, keys=cluster.keys.peers)
                for each in cluster.daemons
            ]
    held = [each['services'][0] for each in statuses if each['services']]
    member = next(iter(held[0]['members'].values()))
    assert _column(_OPERATORS, 'field') == set(statuses[0])
    assert _column(_OPERATORS, 'service field') == set(held[0])
    assert _column(_OPERATORS, 'report field') == set(member['report'])
    assert set(member) == {'age_ms', 'report'}
