"""The work of the whole fleet of engines, as one entry VM has heard of it.

Every entry VM tells the others what it begins and ends, so each book holds all work, late by one
datagram.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

# Work lost when a stream pauses too long or a first token is late, in units of a short prompt.
TOKENS_PER_UNIT = 8_000
# A prompt of this many tokens or fewer is short: it is read in about one pass.
SHORT_TOKENS = 24_000
# Work that nobody has told the end of is forgotten after this time.
FORGET_MS = 20_000.0


class Stage(Enum):
    """How far a piece of work has come."""

    READING = "reading"
    WRITING = "writing"


class Job(NamedTuple):
    """What placement needs to know of a request; times in milliseconds."""

    tokens: int
    max_tokens: int
    target_ms: float
    pause_ms: float

    @property
    def units(self) -> float:
        """Return what is lost if the job's answer is late."""
        return 1.0 + self.tokens / TOKENS_PER_UNIT

    @property
    def short(self) -> bool:
        """Tell whether the prompt is read in about one pass."""
        return self.tokens <= SHORT_TOKENS


@dataclass(slots=True)
class Work:
    """One request in the books; the first server writes, the others read a part.

    ``held`` are the tokens of the prompt that each other server keeps until the end.  The first
    one keeps the rest, and the answer.  Nobody else should join work that is ``alone``.
    """

    job: Job
    servers: tuple[str, ...]
    began_at: float
    held: tuple[int, ...] = ()
    stage: Stage = Stage.READING
    alone: bool = False

    @property
    def parts(self) -> int:
        """Return how many engines read the prompt."""
        return len(self.servers)

    def tokens_at(self, server: str) -> int:
        """Return the tokens of memory that the request takes at one server."""
        if server == self.servers[0]:
            return self.job.tokens + self.job.max_tokens - sum(self.held)
        if not self.held:
            return 0
        return self.held[self.servers.index(server) - 1]


@dataclass(slots=True)
class Engine:
    """The work at one engine, and how much slower it is than its costs say."""

    works: dict[str, Work] = field(default_factory=dict)
    pace: float = 1.0


class Books:
    """All work of the fleet that this VM has heard of."""

    def __init__(self) -> None:
        self._works: dict[str, Work] = {}
        self._engines: dict[str, Engine] = {}
        self._alone: Counter[str] = Counter()

    def engine(self, server: str) -> Engine:
        """Return the book of one engine."""
        found = self._engines.get(server)
        if found is None:
            found = self._engines[server] = Engine()
        return found

    def begin(self, name: str, work: Work) -> None:
        """Enter a request; one of the same name is replaced."""
        self.end(name)
        self._works[name] = work
        for server in work.servers:
            self.engine(server).works[name] = work
        if work.alone:
            self._alone.update(work.servers)

    def wrote(self, name: str) -> None:
        """Note that a request has its first token, so nothing of its prompt is left to read."""
        work = self._works.get(name)
        if work is None:
            return
        work.stage = Stage.WRITING
        for server in work.servers[1:]:
            if not work.tokens_at(server):
                self.engine(server).works.pop(name, None)

    def end(self, name: str) -> None:
        """Strike a request from the books."""
        work = self._works.pop(name, None)
        if work is None:
            return
        for server in work.servers:
            self.engine(server).works.pop(name, None)
        if work.alone:
            self._alone -= Counter(work.servers)

    def is_alone(self, server: str) -> bool:
        """Tell whether an engine holds work that nobody should join."""
        return server in self._alone

    def is_idle(self, server: str) -> bool:
        """Tell whether an engine holds no work."""
        known = self._engines.get(server)
        return known is None or not known.works

    def started(self, server: str) -> None:
        """Empty the book of an engine that has started anew: it holds nothing of before."""
        self._engines[server] = Engine()

    def end_all(self, prefix: str) -> int:
        """Strike all requests whose names begin so; return how many there were."""
        names = [name for name in self._works if name.startswith(prefix)]
        for name in names:
            self.end(name)
        return len(names)

    def forget(self, now: float, servers: Iterable[str]) -> None:
        """Drop work that is too old to be still there, and the books of engines that are gone."""
        for name, work in list(self._works.items()):
            if now - work.began_at > FORGET_MS:
                self.end(name)
        known = set(servers)
        for server in list(self._engines):
            if server not in known and not self._engines[server].works:
                del self._engines[server]

    @property
    def open_works(self) -> int:
        """Return how many requests the books hold."""
        return len(self._works)
