"""Tests of session tokens."""

import tempfile

from hypothesis import given
from hypothesis import strategies as st

from monsoonproxy import keys, session_tokens
from monsoonproxy.clock import Millis
from monsoonproxy.exceptions import TokenError
from monsoonproxy.models import Position
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_OLD = session_tokens.Key('old', b'o' * 32, Millis(0), Millis(1000))
_NEW = session_tokens.Key('new', b'n' * 32, Millis(500))
_BOTH = session_tokens.Signer([_OLD, _NEW])
_NUMBER = st.integers(0, 2**64 - 1)


def _reason(
    signer: session_tokens.Signer, token: str, service: str, now: int
) -> str:
    try:
        signer.check(token, service, Millis(now))
    except TokenError as exc:
        return str(exc)
    return 'accepted'


@given(st.text(max_size=40), _NUMBER, _NUMBER)
def test_round_trip(service: str, term: int, offset: int) -> None:
    """Guards against a token that decodes to another position.

    Covers the whole range of terms and offsets and any service name.
    """
    position = Position(term, offset)
    token = _BOTH.sign(service, position, Millis(600))
    assert _BOTH.check(token, service, Millis(600)) == position


@given(st.data())
def test_forged_token(draw: st.DataObject) -> None:
    """Guards against a token that is accepted after a change of a character."""
    token = _BOTH.sign('hire', Position(3, 4), Millis(600))
    place = draw.draw(st.integers(0, len(token) - 1))
    other = draw.draw(st.sampled_from('ABCxyz019-_=+'))
    forged = token[:place] + other + token[place + 1 :]
    same = forged == token
    assert (_reason(_BOTH, forged, 'hire', 600) == 'accepted') is same


@given(st.text(max_size=600))
def test_malformed_token(token: str) -> None:
    """Guards against exceptions other than ``TokenError`` on arbitrary text."""
    assert _reason(_BOTH, token, 'hire', 0) != 'accepted'


def test_key_rotation() -> None:
    """Guards against a key that signs too early or is accepted too long.

    Also covers tokens of another service and of another key with the same id.
    """
    position = Position(1, 2)
    early = _BOTH.sign('hire', position, Millis(499))
    late = _BOTH.sign('hire', position, Millis(500))
    only_new = session_tokens.Signer([_NEW])
    assert _reason(only_new, early, 'hire', 499) != 'accepted'
    assert _reason(only_new, late, 'hire', 0) == 'accepted'
    assert _reason(_BOTH, early, 'hire', 999) == 'accepted'
    assert 'expired' in _reason(_BOTH, early, 'hire', 1000)
    assert 'another service' in _reason(_BOTH, late, 'hire-2', 600)
    same_id = session_tokens.Signer([session_tokens.Key('new', b'x' * 32)])
    assert 'known key' in _reason(same_id, late, 'hire', 600)


def test_withdrawn_key_after_a_restart() -> None:
    """Guards against a token whose key was withdrawn before a restart.

    The key file keeps the old key until it expires, so a daemon that starts
    reads it again, and must not take it for a valid one.
    """
    created = keys.create(Millis(0))
    token = session_tokens.Signer(created.tokens).sign(
        'hire', Position(3, 4), Millis(0)
    )
    rotated = keys.rotate(created, Millis(0), 1000)
    expires = keys.ACTIVATION_DELAY + 1000
    with tempfile.TemporaryDirectory() as directory:
        path = f'{directory}/keys.toml'
        keys.save(path, rotated)
        restarted = session_tokens.Signer(keys.load(path).tokens)
    assert _reason(restarted, token, 'hire', expires - 1) == 'accepted'
    assert _reason(restarted, token, 'hire', expires) != 'accepted'
