"""Tests of configuration files, daemon settings and documents."""

import json
import pathlib
import tempfile

from hypothesis import given
from hypothesis import strategies as st

from emulator.generate_settings_reference import REFERENCE, reference
from monsoonproxy.configuration import (
    Change,
    Configuration,
    diff,
    read_header,
    show,
)
from monsoonproxy.configuration import load as load_files
from monsoonproxy.exceptions import ConfigurationError, SettingsError
from monsoonproxy.settings import load_settings
from monsoonproxy.sources import SourceError, parse_source, scan_lines
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
BASE = """\
[services.a]
credentials = "env:SECRET"
[[services.a.members]]
name = "x"
address = "10.0.0.1:1"
availability_zone = "z"
[[services.a.members]]
name = "y"
address = "10.0.0.2:1"
availability_zone = "z"
[[services.a.members]]
name = "w"
address = "10.0.0.3:1"
availability_zone = "z"
"""
HASH = '2470c0c06dee42fd1618bb99005adca2ec9d1e19'


@fixture
def folder():
    """Provide an empty temporary folder for configuration files."""
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)


def _load(folder: pathlib.Path, base: str, overlay: str = '', **options):
    (folder / 'base.toml').write_text(base)
    (folder / 'site.toml').write_text(overlay)
    names = (str(folder / name) for name in ('base.toml', 'site.toml'))
    return load_files(*names, **options)


def _load_error(
    folder: pathlib.Path, base: str, overlay: str, **options
) -> str:
    try:
        _load(folder, base, overlay, **options)
    except ConfigurationError as exc:
        return str(exc).replace(f'{folder}/', '')
    raise AssertionError(f'accepted: {base} {overlay}')


def test_examples() -> None:
    """Guards against example files that no longer load.

    A changed check or field can make them invalid, and an edit can change the
    services, limits or zones of the two example sites.
    """
    base = str(EXAMPLES / 'base.toml')
    sizes = {'al-suwaiq': (35, 3, 'Sohar'), 'gqeberha': (60, 4, 'bay')}
    for site, (limit, zones, zone) in sizes.items():
        found = load_files(base, str(EXAMPLES / f'{site}.toml'))
        members = [m for s in found.services.values() for m in s.members]
        assert len(found.services) == 3
        assert {len(s.members) for s in found.services.values()} == {3}
        assert {s.slots for s in found.services.values()} == {2}
        assert {s.connection_limit for s in found.services.values()} == {limit}
        used = {member.availability_zone for member in members}
        assert len(used) == zones
        assert zone in used
        document = found.to_document()
        assert Configuration.from_document(document) == found
        load_settings(str(EXAMPLES / f'{site}-daemon.toml'))


def test_problems_name_file_key_and_line(folder) -> None:
    """Guards against invalid files that load, or errors without location.

    Each overlay has one error; the message must name its file, line and key,
    and must not repeat a secret.
    """
    cases = {
        '[services.a]\nslot = 1': 'site.toml:2: services.a.slot: unknown key',
        '[services.a]\nslots = "1"': 'toml:2: services.a.slots: must be an',
        '[services.a]\nslots = true': 'services.a.slots: must be an integer',
        '[services.a]\n\nslots = 0': 'toml:3: services.a.slots: 0 is out of',
        '[services.a]\nacknowledge = "primary"': 'needs accept_loss = true',
        '[services.a]\nacknowledge = "none"': "'none' is not one of: majority",
        '[services.a]\ncredentials = "hunter2"': 'not the secret itself',
        '[services.a]\nrefused_detection = 2000': 'must not exceed silence',
        '[services.a]\nisolation_detection = 500': 'must not be below silence',
        '[services.a]\nholders = 16\nconnection_limit = 16': 'no connection',
        '[services.a]\nmembers = 3': 'site.toml:2: services.a.members: must be',
        '[services.a]\nmembers = []': 'services.a.members: must not be empty',
        '[services]\na = 3': 'site.toml:2: services.a: must be a table',
        '[services.b]\nslots = 1': 'site.toml:1: services.b.members: missing',
        '[defaults]\nslotz = 1': 'site.toml:2: services.a.slotz: unknown key',
        '[platform]\n[platform.spread]\nreaders = 0': 'site.toml:3: platform.s',
        'version = 3': 'site.toml:1: version: unknown key',
        '[services.q]\nremove = true': 'nothing of this name to remove',
        '[services.a]\nremove = false': 'the only accepted value is true',
        'x = [1,\n2': 'site.toml:2: -: Unclosed array',
        '[users.u]\npassword_hash = "secret"': 'site.toml:2: users.u.password',
        f'[users.u]\npassword_hash = "{HASH}"\nservices = [\n"a",\n"b"]': (
            "site.toml:3: users.u.services.1: unknown service 'b'"
        ),
        '[[services.a.members]]\nname = "x"\naddress = "10.0.0.2:1"': (
            "site.toml:3: services.a.members.0.address: duplicate address '10"
        ),
        '[[services.a.members]]\nname = "x"\naddress = "db:1"': (
            "site.toml:3: services.a.members.0.address: 'db:1' is not an ip"
        ),
        '[[services.a.members]]\nname = "x"\naddress = "10.0.0.9:0"': 'no port',
        '[services.a.classes.enquiry]\nobjective = 2': 'out of range 0.5 to',
    }
    for overlay, wanted in cases.items():
        text = _load_error(folder, BASE, overlay)
        assert wanted in text, (overlay, text)
        assert 'secret"' not in text
        assert 'hunter2' not in text


def test_adapter_fencing(folder) -> None:
    """Guards against loss of writes that the operator did not accept.

    An adapter that can't refuse lower terms may lose acknowledged writes, so
    that it needs ``accept_loss = true``. Unknown adapters are refused.
    """
    fencing = {'group': True, 'plain': False}
    plain = '[services.a]\ndatabase = "plain"\n'
    assert _load(folder, BASE, '', fencing=fencing).services['a'].slots == 2
    error = _load_error(folder, BASE, plain, fencing=fencing)
    assert "site.toml:2: services.a.database: can't refuse lower" in error
    assert _load(folder, BASE, f'{plain}accept_loss = true', fencing=fencing)
    other = _load_error(
        folder, BASE, '[services.a]\ndatabase = "x"', fencing=fencing
    )
    assert 'unknown adapter; known: group, plain' in other


def test_overlay(folder) -> None:
    """Guards against wrong merging of an overlay into the base file.

    The overlay sets defaults and changes, removes and adds members; the
    differences and warnings for operators must agree with the result.
    """
    overlay = """
[defaults]
slots = 5
[services.a]
holders = 9
[[services.a.members]]
name = "y"
leaving = true
[[services.a.members]]
name = "x"
remove = true
[[services.a.members]]
name = "v"
address = "[::1]:1"
availability_zone = "z"
"""
    before = _load(folder, BASE)
    after = _load(folder, BASE, overlay)
    service = after.services['a']
    assert [member.name for member in service.members] == ['y', 'w', 'v']
    assert [member.leaving for member in service.members] == [
        True,
        False,
        False,
    ]
    assert (service.slots, service.holders, service.majority) == (5, 9, 2)
    lines = diff(before, after)
    assert '~ services.a.slots: 2 -> 5' in lines
    assert '- services.a.members.x.address = "10.0.0.1:1"' in lines
    assert '+ services.a.members.v.address = "[::1]:1"' in lines
    assert '~ services.a.members.y.leaving: false -> true' in lines
    assert not diff(after, after)
    assert not before.warnings()
    two = _load(folder, BASE, overlay.replace('"y"\nleaving', '"y"\nremove'))
    assert 'services.a: 2 members' in two.warnings()[0]


def test_no_secrets_shown(folder) -> None:
    """Guards against password hashes in the output of show and diff."""
    user = f'[users.u]\npassword_hash = "{HASH}"'
    found = _load(folder, BASE, user)
    shown = show(found) + diff(Configuration(), found)
    assert HASH not in '\n'.join(shown)
    assert 'users.u.password_hash = (hidden)' in shown
    other = _load(folder, BASE, user.replace('2470', '0000'))
    assert diff(found, other) == [
        '~ users.u.password_hash: (hidden) -> (hidden)'
    ]


def test_documents(folder) -> None:
    """Guards against accepting damaged documents, and against equal digests.

    Two operators may write the same content; the identity of the change must
    still give their documents different digests.
    """
    found = _load(folder, BASE)
    document = found.to_document()
    header = read_header(document)
    assert header.version == 0
    for bad in (b'', b'{}', b'[]', document.replace(b'10.0.0.1', b'10.0.0.9')):
        try:
            Configuration.from_document(bad)
        except ConfigurationError:
            continue
        raise AssertionError(f'accepted: {bad!r}')
    again = Configuration(found.services, change=Change(identity='other'))
    assert read_header(again.to_document()).digest != header.digest
    assert json.loads(document)['services']['a']['holders'] == 2


def test_settings(folder) -> None:
    """Guards against accepting invalid settings of a daemon.

    Each case adds one invalid line; the error must name its line and key.
    """
    good = (
        'peer_address = "10.0.0.1:7000"\navailability_zone = "a"\n'
        'platform_url = "http://10.0.0.9:80"\n'
    )
    path = folder / 'daemon.toml'
    path.write_text(good)
    assert load_settings(str(path)).listen_address == '127.0.0.1:3306'
    cases = {
        'seed_peers = ["x"]': ":4: seed_peers: 'x' is not an ip:port",
        'tls_key_file = "k"': ':4: tls_key_file: tls_certificate_file and',
        'metrics_address = "10.0.0.1:7000"': ':1: peer_address: peer, listen',
        'log_format = "xml"': ":4: log_format: 'xml' is not one of",
        'color = 1': ':4: color: unknown key',
    }
    for line, wanted in cases.items():
        path.write_text(f'{good}{line}\n')
        try:
            load_settings(str(path))
        except SettingsError as exc:
            assert wanted in str(exc), str(exc)
        else:
            raise AssertionError(f'accepted: {line}')


def test_settings_reference() -> None:
    """Guards against a settings reference that is out of date.

    It is generated from the fields and must be generated again after a change.
    """
    assert REFERENCE.read_text() == reference()


_words = st.text('ab-"\'#[]=', max_size=4)
_keys = st.sampled_from(['k', 'two-words', '"a.b"', "'q=#'"])
_values = st.one_of(
    st.integers(0, 9).map(str),
    _words.map(json.dumps),
    st.just('[\n  1, # ]\n  2\n]'),
    st.just('{ p = [1], q = "}" }'),
    st.just('"""\nx = 1\n[t]\n"""'),
    st.just("'''\ny = [\n'''"),
)


@given(
    st.lists(st.tuples(_keys, _values), max_size=4, unique_by=lambda p: p[0])
)
def _check_line_numbers(pairs) -> None:
    body = [f'{key} = {value} # note' for key, value in pairs]
    blocks = ['# start', *body, '[t . u]', *body, '', '[[l]]', *body, '[[l]]']
    text = '\n'.join([*blocks, *body, '[l.sub]', *body])
    parse_source(text, 'file')
    rows = text.split('\n')
    lines = scan_lines(text)
    for key, _value in pairs:
        name = key.strip('"\'')
        found = [
            lines[path]
            for path in (
                (name,),
                ('t', 'u', name),
                ('l', 0, name),
                ('l', 1, name),
                ('l', 1, 'sub', name),
            )
        ]
        assert found == sorted(set(found))
        assert all(rows[line - 1].startswith(f'{key} = ') for line in found)


def test_line_numbers() -> None:
    """Guards against wrong line numbers in error messages.

    Multi-line values, quoted keys and comments with brackets can mislead the
    line scanner about where a statement ends.
    """
    _check_line_numbers()


def test_missing_file() -> None:
    """Guards against an error without cause for a file that can't be read."""
    try:
        load_files('/nonexistent/base.toml')
    except ConfigurationError as exc:
        assert isinstance(exc.__cause__, SourceError)
        assert 'No such file' in str(exc)
        return
    raise AssertionError('a missing file was accepted')
