"""A network of simulated processes in virtual time.

Everything runs in one thread and takes its randomness from one seed, so that
a run can be repeated exactly.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs

Action = Callable[[], None]
Respond = Callable[[Any], None]


@attrs.frozen
class Weather:
    """How unreliable the network is.

    :param latency: One-way latency in ms.
    :param loss: Probability that a message is lost.
    :param slow: Probability that a message takes up to ``slow_latency``.
    :param slow_latency: Greatest latency in ms of a slow message.
    """

    latency: int = 1
    loss: float = 0
    slow: float = 0
    slow_latency: int = 200


@attrs.define
class _Node:
    """State of a process; a restart makes timers of the past void."""

    alive: bool = True
    frozen: bool = False
    incarnation: int = 0
    backlog: list[Action] = attrs.field(factory=list)


@attrs.frozen
class _Timer:
    """An action of a process."""

    name: str
    incarnation: int
    action: Action


@attrs.define(eq=False)
class _Request:
    """A request that waits for its answer."""

    source: str
    target: str
    incarnation: int
    fail: Callable[[bool], None]
    open: bool = True


class Network:
    """Runs timers and delivers messages between named processes.

    :param rng: Source of all randomness.
    :param weather: How unreliable the network is.
    """

    def __init__(self, rng: random.Random, weather: Weather) -> None:
        self.now = 0
        self.rng = rng
        self.cuts: set[frozenset[str]] = set()
        self.weather = weather
        self._nodes: dict[str, _Node] = collections.defaultdict(_Node)
        self._queue: list[tuple[int, int, _Timer]] = []
        self._numbers = itertools.count()
        self._requests: list[_Request] = []

    def is_alive(self, name: str) -> bool:
        """Tell whether a process runs, even if it is frozen.

        :param name: The process.
        :returns: Whether it has not been killed.
        """
        return self._node(name).alive

    def is_up(self, name: str) -> bool:
        """Tell whether a process runs and is not frozen.

        :param name: The process.
        :returns: Whether it makes progress.
        """
        node = self._node(name)
        return node.alive and not node.frozen

    def after(self, delay: int, name: str, action: Action) -> None:
        """Run an action on a process.

        :param delay: When, in ms from now.
        :param name: The process; the action is void if it dies before.
        :param action: What to do.
        """
        timer = _Timer(name, self._node(name).incarnation, action)
        entry = (self.now + delay, next(self._numbers), timer)
        heapq.heappush(self._queue, entry)

    def run(self, until: int) -> None:
        """Run everything up to a time.

        :param until: The time in ms.
        """
        while self._queue and self._queue[0][0] <= until:
            entry = heapq.heappop(self._queue)
            self.now = entry[0]
            timer = entry[2]
            node = self._node(timer.name)
            if not node.alive or node.incarnation != timer.incarnation:
                continue
            if node.frozen:
                node.backlog.append(timer.action)
            else:
                timer.action()
        self.now = until

    def send(self, source: str, target: str, action: Action) -> None:
        """Send a message.

        :param source: The sender.
        :param target: The receiver.
        :param action: What the receiver does with it.
        """
        if self._is_cut(source, target):
            return
        if self.rng.random() < self.weather.loss:
            return
        self.after(self._latency(), target, action)

    def request(
        self,
        route: tuple[str, str],
        call: Callable[[Respond], None],
        reply: Respond,
        fail: Callable[[bool], None],
        timeout: int,
    ) -> None:
        """Send a request and wait for its answer.

        :param route: The sender and the receiver.
        :param call: What the receiver does; it gets a function to answer.
        :param reply: Called at the sender with the answer.
        :param fail: Called at the sender if there is no answer, with whether
            the connection was refused or reset.
        :param timeout: How long the sender waits, in ms.
        """
        source, target = route
        entry = _Request(source, target, self._node(source).incarnation, fail)
        self._requests = [other for other in self._requests if other.open]
        self._requests.append(entry)

        def respond(answer: Any) -> None:
            self.send(target, source, lambda: self._close(entry, reply, answer))

        self.after(
            timeout, source, lambda: self._close(entry, fail, refused=False)
        )
        if self._node(target).alive:
            self.send(source, target, lambda: call(respond))
        else:
            self._reset(entry)

    def cut(self, name: str, others: list[str]) -> None:
        """Drop all messages between a process and others.

        :param name: The process.
        :param others: The others.
        """
        self.cuts.update(frozenset((name, other)) for other in others)

    def mend(self, name: str, others: list[str]) -> None:
        """Deliver messages between a process and others again.

        :param name: The process.
        :param others: The others.
        """
        self.cuts.difference_update(
            frozenset((name, other)) for other in others
        )

    def kill(self, name: str) -> None:
        """End a process; open connections to it are reset.

        :param name: The process.
        """
        node = self._node(name)
        node.alive = False
        node.frozen = False
        node.backlog.clear()
        for entry in self._requests:
            if entry.open and entry.target == name:
                self._reset(entry)

    def restart(self, name: str) -> None:
        """Start a process again.

        :param name: The process.
        """
        node = self._node(name)
        node.alive = True
        node.incarnation += 1

    def freeze(self, name: str) -> None:
        """Stop a process; its messages and timers wait.

        :param name: The process.
        """
        self._node(name).frozen = self._node(name).alive

    def thaw(self, name: str) -> None:
        """Let a frozen process go on.

        :param name: The process.
        """
        node = self._node(name)
        node.frozen = False
        for action in node.backlog:
            self.after(0, name, action)
        node.backlog.clear()

    def _node(self, name: str) -> _Node:
        return self._nodes[name]

    def _is_cut(self, source: str, target: str) -> bool:
        return frozenset((source, target)) in self.cuts

    def _latency(self) -> int:
        if self.rng.random() < self.weather.slow:
            return self.rng.randint(1, self.weather.slow_latency)
        return self.weather.latency

    def _close(self, entry: _Request, callback: Respond, refused: Any) -> None:
        if entry.open:
            entry.open = False
            callback(refused)

    def _reset(self, entry: _Request) -> None:
        if not self._is_cut(entry.source, entry.target):
            self.after(
                2 * self.weather.latency,
                entry.source,
                lambda: self._close(entry, entry.fail, refused=True),
            )
