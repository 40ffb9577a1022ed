"""Tests of ``monsoonctl``, against a platform in memory."""

import asyncio
import functools
import json
import pathlib
import random
import stat
import tempfile

import attrs
import zmq
from hypothesis import given
from hypothesis import strategies as st
from zmq import asyncio as zmq_asyncio

from monsoonproxy import (
    adapters,
    configuration_store,
    daemon_client,
    keys,
    messages,
)
from monsoonproxy.configuration import Change, Configuration
from monsoonproxy.declarations import PlatformRules
from monsoonproxy.exceptions import (
    ConflictError,
    PlatformError,
)
from monsoonproxy.models import Host
from tests.fixtures import fixture, load_functions
from tests.memory_platform import MemoryPlatform, MonsoonctlRunner, StoredValue
from tests.test_configuration import BASE, HASH

load_tests = load_functions(__name__)

#: A loaded machine must not fail a test.
TIMEOUT = 60_000
daemon_client.TIMEOUT = TIMEOUT
configuration_store.READ_BACK_WAITS = (0, 0, 0)


@fixture
def tool():
    """Provide the tool."""
    with tempfile.TemporaryDirectory() as name:
        yield MonsoonctlRunner(pathlib.Path(name), BASE)


async def test_apply(tool) -> None:
    """Guards against versions that are skipped or written without need."""
    user = f'[users.u]\npassword_hash = "{HASH}"\n'
    assert await tool.run('check', 'base.toml') == (
        0,
        'valid: services 1, users 0\n',
    )
    code, text = await tool.run('apply', 'base.toml', '--operator', 'ann')
    assert (code, tool.version()) == (0, 1)
    assert text.endswith('accepted as version 1\n')
    tool.write_file(f'{BASE}{user}')
    assert '+ users.u.name = "u"' in (await tool.run('diff', 'base.toml'))[1]
    await tool.run('apply', 'base.toml', '--comment', 'add u', '--expect', '1')
    again = await tool.run('apply', 'base.toml')
    assert again == (0, 'no difference to version 2\n')
    assert tool.platform.writes == 2


async def test_show_history(tool) -> None:
    """Guards against versions that are lost, or shown with secrets."""
    await tool.run('apply', 'base.toml', '--operator', 'ann')
    tool.write_file(f'{BASE}[users.u]\npassword_hash = "{HASH}"\n')
    await tool.run('apply', 'base.toml', '--comment', 'add u')
    assert sorted(tool.platform.objects) == [
        'configuration/1',
        'configuration/2',
    ]
    for extra in ((), ('--json',), ('--version', '2')):
        code, text = await tool.run('show', *extra)
        assert code == 0
        assert HASH not in text
        assert '10.0.0.3:1' in text
    assert (await tool.run('show', '--version', '3'))[0] == 1
    rows = json.loads((await tool.run('history', '--json'))[1])
    assert [row['version'] for row in rows] == [2, 1]
    assert rows[1]['operator'] == 'ann'
    assert 'add u' in (await tool.run('history', '--limit', '1'))[1]


@attrs.define
class Unfenced:
    """A database adapter that can't refuse lower terms."""

    fences: bool = False


async def test_adapter_that_does_not_fence(tool) -> None:
    """Guards against an adapter that loses writes passing the check."""
    adapters.databases.register('unfenced')(Unfenced)
    try:
        tool.write_file(f'[defaults]\ndatabase = "unfenced"\n{BASE}')
        code, text = await tool.run('check', 'base.toml')
    finally:
        adapters.databases._entries.pop('unfenced')
    assert code == 1
    assert "base.toml:2: services.a.database: can't refuse lower" in text
    assert (await tool.run('check', 'base.toml'))[1].count('unknown adapter')
    tool.write_file(BASE)
    assert (await tool.run('check', 'base.toml'))[0] == 0


async def test_refused_files_change_nothing(tool) -> None:
    """Guards against a write although a check refused the files."""
    tool.write_file(f'{BASE}typo = 1\n')
    code, text = await tool.run('apply', 'base.toml')
    assert code == 1
    assert 'base.toml:15: services.a.members.2.typo: unknown key' in text
    code, text = await tool.run('check', 'base.toml', '--json')
    problem = json.loads(text)['problems'][0]
    assert (problem['line'], code) == (15, 1)
    assert problem['key'] == 'services.a.members.2.typo'
    assert tool.platform.writes == 0


async def test_lost_answers(tool) -> None:
    """Guards against a second write, or a wrong report, after a lost answer."""
    platform = tool.platform
    platform.faults = ['lost']
    code, text = await tool.run('apply', 'base.toml')
    assert (code, tool.version(), platform.writes) == (0, 1, 1)
    tool.write_file(BASE.replace('"x"', '"x2"'))
    platform.faults = ['late']
    code, text = await tool.run('apply', 'base.toml')
    assert (code, tool.version(), platform.writes) == (4, 1, 2)
    assert 'outcome unknown' in text


def _race(tool: MonsoonctlRunner) -> None:
    """Let another operator's write come first."""

    def other() -> None:
        tool.platform.before_write = list
        found = Configuration(
            platform=PlatformRules(hosts_interval=9000),
            version=tool.version() + 1,
            change=Change(identity='other', operator='bob'),
        )
        document = found.to_document()
        tool.platform.table['configuration'] = StoredValue('other', document)

    tool.platform.before_write = other


async def test_two_operators(tool) -> None:
    """Guards against overwriting, or hiding, another operator's change."""
    await tool.run('apply', 'base.toml')
    tool.write_file(BASE.replace('"x"', '"x2"'))
    _race(tool)
    code, text = await tool.run('apply', 'base.toml')
    assert (code, tool.version()) == (3, 2)
    assert 'version 2 of bob was accepted first; it changed:' in text
    assert '~ platform.hosts_interval: 5000 -> 9000' in text
    code, text = await tool.run('apply', 'base.toml', '--expect', '1')
    assert code == 3
    assert '~ platform.hosts_interval: 5000 -> 9000' in text


async def test_superseded_after_lost_answer(tool) -> None:
    """Guards against calling a version refused that was accepted and replaced.

    The other operator's tool archives the version that it replaces.
    """
    platform = tool.platform
    write = platform.write

    async def write_twice(key: str, body: bytes, etag: str | None) -> str:
        platform.write = write
        await write(key, body, etag)
        found = Configuration(platform=PlatformRules(hosts_interval=9000))
        await configuration_store.apply(platform, found, Change(operator='bob'))
        raise PlatformError('no answer')

    platform.write = write_twice
    code, text = await tool.run('apply', 'base.toml')
    assert (code, tool.version()) == (0, 2)
    assert 'accepted as version 1' in text


async def test_platform_down(tool) -> None:
    """Guards against an unclear end while the platform is down."""
    tool.platform.down = True
    for argv in (('apply', 'base.toml'), ('diff', 'base.toml'), ('show',)):
        code, text = await tool.run(*argv)
        assert (code, text) == (4, 'error: connection refused\n')
    assert (await tool.run('check', 'base.toml'))[0] == 0
    assert (await tool.run('unknown'))[0] == 2


async def test_help_has_examples(tool) -> None:
    """Guards against commands without an example in their help."""
    names = 'check diff apply show history status drain'.split()
    for argv in (
        *([name] for name in names),
        ['report', 'burn'],
        ['keys', 'new'],
    ):
        code, text = await tool.run(*argv, '--help')
        assert code == 0
        assert 'Example: monsoonctl {0}'.format(' '.join(argv)) in text


async def test_keys(tool) -> None:
    """Guards against lost keys, shown secrets and readable key files."""
    file = pathlib.Path(tool.path('keys.toml'))
    assert (await tool.run('keys', 'new', 'keys.toml'))[0] == 0
    assert stat.S_IMODE(file.stat().st_mode) == 0o600
    first = keys.load(str(file))
    assert (await tool.run('keys', 'new', 'keys.toml'))[0] == 1
    await tool.run('keys', 'rotate', 'keys.toml')
    second = keys.load(str(file))
    # The old key stays, with an end; the new one signs a little later.
    assert second.tokens[1].key_id == first.tokens[0].key_id
    assert second.tokens[1].expires > second.tokens[0].active_from
    # The pair that is now in use was known as the next one before.
    assert second.peers[0] == first.peers[1]
    assert second.peers[2] == first.peers[0]
    code, text = await tool.run('keys', 'show', 'keys.toml', '--json')
    assert len(json.loads(text)) == 5
    assert all(key.secret.hex() not in text for key in second.tokens)
    assert all(pair.secret.decode() not in text for pair in second.peers)
    file.write_text('[[tokens]]\nsecret = "hunter2"')
    code, text = await tool.run('keys', 'show', 'keys.toml')
    assert code == 1
    assert 'hunter2' not in text


@fixture
async def daemon():
    """Provide the address of a daemon that answers status requests."""
    context = zmq_asyncio.Context()
    socket = context.socket(zmq.ROUTER)
    port = socket.bind_to_random_port('tcp://127.0.0.1')
    seen: asyncio.Queue[messages.Message] = asyncio.Queue()
    task = asyncio.create_task(_serve(socket, seen))
    yield f'127.0.0.1:{port}', seen
    task.cancel()
    socket.close(0)
    context.term()


async def _serve(socket, seen) -> None:
    count = {
        'minute': 5,
        'service': 'a',
        'request_class': 'enquiry',
        'outcome': 'not run',
        'count': 7,
    }
    answers = {
        'status': {'version': 3},
        'drain': {'draining': True},
        'burn': [count],
    }
    while True:
        identity, frame = await socket.recv_multipart()
        request = messages.decode(frame)
        seen.put_nowait(request)
        if isinstance(request, messages.StatusRequest):
            document = json.dumps(answers[request.topic]).encode()
            reply = messages.StatusReply(request.request, document)
            await socket.send_multipart([identity, messages.encode(reply)])


async def test_daemons(tool, daemon) -> None:
    """Guards against wrong questions to daemons and unclear failures."""
    address, seen = daemon
    tool.path = str
    tool.platform.host_list = (Host(address, 'z'),)
    assert await tool.run('status') == (0, f'{address}: version 3\n')
    assert await tool.run('drain', address) == (
        0,
        f'{address}: draining True\n',
    )
    code, text = await tool.run('report', 'burn', address, '--json')
    assert code == 0
    assert json.loads(text)[0]['by_outcome'] == {'not run': 7}
    base = str(tool.folder / 'base.toml')
    assert (await tool.run('apply', base))[0] == 0
    async with asyncio.timeout(60):
        await _wait_for(seen, messages.Announce(1))


async def _wait_for(seen, wanted) -> None:
    found = None
    while found != wanted:
        found = await seen.get()


async def test_unreachable_daemon(tool) -> None:
    """Guards against waiting forever for a daemon, and a wrong exit code.

    The socket never answers, so the short timeout can't fail the test.
    """
    daemon_client.TIMEOUT = 100
    tool.path = str
    context = zmq_asyncio.Context()
    silent = context.socket(zmq.ROUTER)
    port = silent.bind_to_random_port('tcp://127.0.0.1')
    code, text = await tool.run('drain', f'127.0.0.1:{port}')
    assert (code, 'no answer within' in text) == (5, True)
    code, text = await tool.run('status', f'127.0.0.1:{port}', '--json')
    assert code == 5
    assert 'error' in json.loads(text)[f'127.0.0.1:{port}']
    daemon_client.TIMEOUT = TIMEOUT
    silent.close(0)
    context.term()


async def _apply_two(seed: int, faults: list[str]) -> MemoryPlatform:
    rng = random.Random(seed)
    platform = MemoryPlatform()
    platform.faults = faults
    platform.pause = functools.partial(rng.randrange, 4)
    # Both write the same content: the change's identity tells them apart.
    wanted = Configuration(platform=PlatformRules(hosts_interval=9000))
    found = await asyncio.gather(
        *(
            configuration_store.apply(
                platform, wanted, Change(operator=name), 0
            )
            for name in ('ann', 'bob')
        ),
        return_exceptions=True,
    )
    applied = [
        item for item in found if isinstance(item, configuration_store.Applied)
    ]
    refused = [item for item in found if isinstance(item, ConflictError)]
    assert (len(applied), len(refused)) == (1, 1)
    assert applied[0].version == 1
    body = platform.table['configuration'].body
    operator = ('ann', 'bob')[found.index(applied[0])]
    assert Configuration.from_document(body).change.operator == operator
    assert platform.objects['configuration/1'] == body
    return platform


@given(
    st.integers(0, 10**6),
    st.lists(st.sampled_from(['', 'lost']), max_size=2),
)
def _check_two_operators(seed, faults) -> None:
    assert asyncio.run(_apply_two(seed, faults)).writes <= 2


async def test_two_operators_any_order() -> None:
    """Guards against two accepted changes, or none, of two operators.

    Their steps interleave in any order, and answers to writes may be lost.
    """
    await asyncio.to_thread(_check_two_operators)
