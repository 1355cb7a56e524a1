"""Track the in-flight work of all engines, as known to one entry VM.

Every entry VM tells the others which requests it starts and ends, so each VM's table holds all
in-flight work, delayed by one datagram.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

# The weight of a request is the work lost when its stream pauses too long or its first token is
# late, relative to a short prompt.
TOKENS_PER_WEIGHT_UNIT = 8_000
# An engine prefills a prompt of at most this many tokens in about one pass.
MAX_SHORT_PROMPT_TOKENS = 24_000
# Work is dropped after this time if no end has been received for it.
WORK_EXPIRY_MS = 20_000.0


class Stage(Enum):
    """The stage of a request at its engines."""

    PREFILL = "reading"
    DECODE = "writing"


class Job(NamedTuple):
    """The properties of a request that placement uses; times in milliseconds."""

    tokens: int
    max_tokens: int
    target_ms: float
    pause_ms: float

    @property
    def weight(self) -> float:
        """Return the work lost if the answer is late, relative to a short prompt."""
        return 1.0 + self.tokens / TOKENS_PER_WEIGHT_UNIT

    @property
    def short(self) -> bool:
        """Return whether the prompt is prefilled in about one pass."""
        return self.tokens <= MAX_SHORT_PROMPT_TOKENS


@dataclass(slots=True)
class Work:
    """One in-flight request; the first server decodes, the others only prefill a part.

    ``held`` is the number of prompt tokens whose KV cache each server after the first keeps until
    the end of the request.  The first server keeps the rest, and the answer.  No other request
    should be placed on the servers of work that is ``exclusive``.
    """

    job: Job
    servers: tuple[str, ...]
    began_at: float
    held: tuple[int, ...] = ()
    stage: Stage = Stage.PREFILL
    exclusive: bool = False

    @property
    def engine_count(self) -> int:
        """Return the number of engines that prefill the prompt."""
        return len(self.servers)

    def tokens_at(self, server: str) -> int:
        """Return the KV memory, in tokens, that the request takes at one server."""
        if server == self.servers[0]:
            return self.job.tokens + self.job.max_tokens - sum(self.held)
        if not self.held:
            return 0
        return self.held[self.servers.index(server) - 1]


@dataclass(slots=True)
class EngineWork:
    """The work at one engine, and the factor by which it is slower than its configured costs."""

    in_flight: dict[str, Work] = field(default_factory=dict)
    slowdown: float = 1.0


class WorkTable:
    """All in-flight work of the fleet that is known to this VM."""

    def __init__(self) -> None:
        self._works: dict[str, Work] = {}
        self._engines: dict[str, EngineWork] = {}
        self._exclusive: Counter[str] = Counter()

    def engine(self, server: str) -> EngineWork:
        """Return the work of one engine, creating an empty entry if needed."""
        found = self._engines.get(server)
        if found is None:
            found = self._engines[server] = EngineWork()
        return found

    def add(self, name: str, work: Work) -> None:
        """Add a request, replacing any of the same name."""
        self.remove(name)
        self._works[name] = work
        for server in work.servers:
            self.engine(server).in_flight[name] = work
        if work.exclusive:
            self._exclusive.update(work.servers)

    def mark_first_token(self, name: str) -> None:
        """Record the first token of a request: its prefill is complete.

        Servers that keep none of the prompt are done with the request.
        """
        work = self._works.get(name)
        if work is None:
            return
        work.stage = Stage.DECODE
        for server in work.servers[1:]:
            if not work.tokens_at(server):
                self.engine(server).in_flight.pop(name, None)

    def remove(self, name: str) -> None:
        """Remove a request."""
        work = self._works.pop(name, None)
        if work is None:
            return
        for server in work.servers:
            self.engine(server).in_flight.pop(name, None)
        if work.exclusive:
            self._exclusive -= Counter(work.servers)

    def is_exclusive(self, server: str) -> bool:
        """Return whether an engine holds work that no other request should join."""
        return server in self._exclusive

    def is_idle(self, server: str) -> bool:
        """Return whether an engine holds no work."""
        known = self._engines.get(server)
        return known is None or not known.in_flight

    def clear_engine(self, server: str) -> None:
        """Clear the work of an engine that has restarted, which lost all of it."""
        self._engines[server] = EngineWork()

    def remove_with_prefix(self, prefix: str) -> int:
        """Remove all requests whose names start with ``prefix``; return their number."""
        names = [name for name in self._works if name.startswith(prefix)]
        for name in names:
            self.remove(name)
        return len(names)

    def expire(self, now: float, servers: Iterable[str]) -> None:
        """Remove expired work, and the entries of idle engines not among ``servers``."""
        for name, work in list(self._works.items()):
            if now - work.began_at > WORK_EXPIRY_MS:
                self.remove(name)
        known = set(servers)
        for server in list(self._engines):
            if server not in known and not self._engines[server].in_flight:
                del self._engines[server]

    @property
    def work_count(self) -> int:
        """Return the number of in-flight requests."""
        return len(self._works)
