"""Usable hosts, also compared with a model that keeps the whole history."""

from hypothesis import given
from hypothesis import strategies as st

from monsoonproxy.clock import Millis
from monsoonproxy.declarations import MembershipRules
from monsoonproxy.membership import (
    RECORD_LIMIT,
    Event,
    GoodbyeReceived,
    HostsListed,
    HostsReported,
    Membership,
    MessageReceived,
    SendFailed,
    Tick,
)
from monsoonproxy.models import Host, HostState
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

OWN = Host('10.0.0.1:7000', 'a')
HOSTS = [Host(f'10.0.0.{n}:7000', 'b') for n in range(2, 5)]
RULES = MembershipRules()
LIST = HostsListed((OWN, *HOSTS))


def _run(*steps: tuple[int, Event]) -> Membership:
    found = Membership(OWN, RULES)
    for moment, event in steps:
        found.handle(event, Millis(moment))
    return found


def _names(found: Membership, now: int) -> list[str]:
    return [host.address[7] for host in found.usable(Millis(now))]


def test_goodbye_precedes_list() -> None:
    """Guards against new requests to a host that shut down but is listed.

    A late answer doesn't make it usable again. The announcement of a restarted
    daemon does, and so does the list once its longest lag has passed.
    """
    gone = HOSTS[0].address
    leave = ((0, LIST), (10, GoodbyeReceived(gone)), (20, LIST))
    late = _run(*leave, (30, MessageReceived(gone, 'b')))
    assert _names(late, 40) == ['1', '3', '4']
    assert not late.changed
    assert _names(late, 10 + RULES.list_lag) == ['1', '2', '3', '4']
    back = _run(*leave, (30, MessageReceived(gone, 'b', announced=True)))
    assert back.changed
    assert _names(back, 40) == ['1', '2', '3', '4']


def test_goodbye_before_list() -> None:
    """Guards against requests to a host that was listed after its goodbye.

    The lagging list names a host that this daemon knew only by its goodbye.
    """
    found = _run((0, GoodbyeReceived(HOSTS[0].address)), (5, LIST))
    assert _names(found, 10) == ['1', '3', '4']


def test_failed_send() -> None:
    """Guards against requests to a failed host that is still listed.

    A refused connection excludes a host at once, an unanswered message after
    ``peer_timeout``. The host is pinged and usable again once heard from.
    """
    silent = HOSTS[0].address
    refused = HOSTS[1].address
    found = _run(
        (0, LIST),
        (50, MessageReceived(silent)),
        (100, SendFailed(silent, Millis(100))),
        (100, SendFailed(silent, Millis(40))),
        (100, SendFailed(refused)),
        (200, SendFailed('10.9.9.9:1')),
    )
    assert _names(found, 1599) == ['1', '2', '4']
    assert _names(found, 1600) == ['1', '4']
    assert found.probes(Millis(1600)) == (refused,)
    assert not found.probes(Millis(2599))
    assert found.probes(Millis(2600)) == (silent, refused)
    found.handle(LIST, Millis(2700))
    assert _names(found, 2700) == ['1', '4']
    found.handle(MessageReceived(silent), Millis(2800))
    assert _names(found, 2800) == ['1', '2', '4']


def test_unlisted_host() -> None:
    """Guards against ignoring a new host until the lagging list names it."""
    found = _run(
        (0, HostsListed((OWN,))), (10, MessageReceived('10.0.0.9:7000', 'c'))
    )
    assert found.changed
    assert _names(found, 10) == ['1', '9']
    found.handle(MessageReceived('10.0.0.9:7000', 'c'), Millis(5000))
    assert [host.address[7] for host in found.heard(Millis(9000))] == ['9']
    assert _names(found, 14_999) == ['1', '9']
    assert _names(found, 15_000) == ['1']


def test_list_entry_gone() -> None:
    """Guards against hosts that stay usable after they left the list.

    A host that was heard from recently stays until ``heard_lifetime`` ends.
    """
    found = _run((0, LIST), (9000, MessageReceived(HOSTS[1].address)))
    found.handle(HostsListed((OWN, HOSTS[0])), Millis(9500))
    assert _names(found, 9500) == ['1', '2', '3']
    assert _names(found, 19_000) == ['1', '2']


def test_states_and_lists() -> None:
    """Guards against using leaving hosts and trusting an empty host list.

    Hosts reported by peers count until the platform's list is read again.
    """
    leaving = Host(HOSTS[0].address, 'b', HostState.LEAVING)
    found = _run((0, HostsListed((OWN, leaving, HOSTS[1]))))
    assert _names(found, 0) == ['1', '3']
    found.handle(HostsListed(()), Millis(1))
    assert _names(found, 1) == ['1', '3']
    found.handle(HostsReported((HOSTS[2],)), Millis(2))
    assert _names(found, 90_000) == ['1', '3', '4']
    found.handle(HostsListed((OWN, HOSTS[1])), Millis(90_000))
    assert _names(found, 90_000) == ['1', '3']


def test_bounded_state() -> None:
    """Guards against forged addresses that exhaust the memory."""
    found = _run((0, LIST))
    for number in range(RECORD_LIMIT + 50):
        found.handle(GoodbyeReceived(f'10.1.0.0:{number}'), Millis(1))
    assert len(found._records) <= RECORD_LIMIT
    assert _names(found, 2) == ['1', '2', '3', '4']


_addresses = st.sampled_from([host.address for host in HOSTS])
_events = st.one_of(
    st.builds(MessageReceived, _addresses, st.just('b'), st.booleans()),
    st.builds(GoodbyeReceived, _addresses),
    st.builds(SendFailed, _addresses),
    st.builds(
        HostsListed,
        st.sets(st.sampled_from(HOSTS)).map(lambda hosts: (OWN, *hosts)),
    ),
    st.just(Tick()),
)
_histories = st.lists(st.tuples(st.integers(0, 40_000), _events), max_size=25)


def _last(history, address, *kinds) -> int:
    """Return the index of a host's last event of some kinds, or -1."""
    found = [-1]
    for index, (_moment, event) in enumerate(history):
        if isinstance(event, kinds) and event.address == address:
            found.append(index)
    return found[-1]


def _model(history: list[tuple[int, Event]], now: int) -> set[str]:
    """Compute the usable hosts from the history, without kept state."""
    lists = [event for _, event in history if isinstance(event, HostsListed)]
    ages = [now - moment for moment, _event in history] + [1_000_000]
    announced = [
        pair for pair in history if getattr(pair[1], 'announced', False)
    ]
    usable = {OWN.address}
    for host in HOSTS:
        heard = _last(history, host.address, MessageReceived)
        left = _last(history, host.address, GoodbyeReceived)
        back = _last(announced, host.address, MessageReceived)
        restarted = back >= 0 and history.index(announced[back]) > left
        gone = ages[left] < RULES.list_lag and not restarted
        failed = _last(history, host.address, SendFailed) > heard
        listed = bool(lists) and host in lists[-1].hosts
        recent = ages[heard] < RULES.heard_lifetime
        if (listed or recent) and not gone and not failed:
            usable.add(host.address)
    return usable


@given(_histories)
def _check_model(steps) -> None:
    now = 0
    history = []
    found = Membership(OWN, RULES)
    for pause, event in steps:
        now += pause
        history.append((now, event))
        before = found.usable(Millis(now))
        found.handle(event, Millis(now))
        changed = found.changed
        usable = found.usable(Millis(now))
        assert changed == (usable != before)
        _compare(found, history, now)


def _compare(found, history, now) -> None:
    usable = {host.address for host in found.usable(Millis(now))}
    extra = usable - _model(history, now)
    missing = _model(history, now) - usable
    assert not missing
    # The record of a failed host is removed while it is not listed, so the host
    # is usable when it is listed again.
    lists = [event for _, event in history if isinstance(event, HostsListed)]
    never_listed = not isinstance(history[0][1], HostsListed)
    for address in extra:
        known = [{host.address for host in event.hosts} for event in lists]
        assert SendFailed(address) in [pair[1] for pair in history]
        assert never_listed or any(address not in names for names in known)


def test_model() -> None:
    """Guards against wrong usable hosts after any sequence of events."""
    _check_model()
