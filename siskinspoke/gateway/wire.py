"""What the transparent path needs of an adapter: typed calls, dispatches and answers."""

from typing import NamedTuple, Protocol

from expression import Result

from siskinspoke.coordination.routes import RouteTable
from siskinspoke.core.codes import Failure
from siskinspoke.transport.http1 import AnswerHead, Headers, RequestHead


class Prompt(NamedTuple):
    """The size of a generation, in tokens."""

    tokens: int
    max_tokens: int


class Call(NamedTuple):
    """A caller's request; ``deadline_ms`` is how long the caller waits from its arrival.

    ``headers`` are those that go on to the server as they are.  ``resume_after`` is the last
    event of a stream that the caller has.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    deadline_ms: float | None
    key: str
    prompt: Prompt | None
    resume_after: str | None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


class Helper(NamedTuple):
    """Another engine that reads a part of the prompt, into a reservation if one is named."""

    host: str
    port: int
    reservation: str = ""


class Dispatch(NamedTuple):
    """One sending of a call to a server; ``left_ms`` is what its caller will still wait."""

    call: Call
    server: str
    customer: str | None
    left_ms: float
    rank: int
    helpers: tuple[Helper, ...] = ()
    resume_after: str | None = None


class Restrictions(NamedTuple):
    """What a server asks of its callers in an answer, to get fewer requests.

    ``rate_limit`` is in requests a second from all VMs together, None where none is named.
    ``back_off_ms`` is for how long it wants nothing from this VM; ``leaving`` means that it is
    about to stop.  ``unreadable`` names the fields whose values mean nothing; such a field
    changes nothing.
    """

    rate_limit: float | None = None
    back_off_ms: float | None = None
    leaving: bool = False
    unreadable: tuple[str, ...] = ()


class Answer(NamedTuple):
    """What a server's first words mean.

    ``never_ran`` means that the server has not run the request and never will.  ``misdirected``
    means that another incarnation has the address.  ``at_fault`` is the address of a helper
    that failed.  ``idle_seconds`` is how long the server keeps the connection, if it says.
    """

    status: int
    headers: Headers
    request_id: str | None
    never_ran: bool
    misdirected: bool
    at_fault: str | None
    closes: bool
    idle_seconds: float | None
    framed: bool
    restrictions: Restrictions = Restrictions()


class EngineReport(NamedTuple):
    """What an engine says of itself.

    ``pace`` is over 1 where it is slower than its costs say; ``started`` is the Unix millisecond
    of its start by its own clock, None where it does not say.
    """

    pace: float
    started: int | None


class Wire(Protocol):
    """An adapter's formats."""

    def decode_call(self, head: RequestHead, body: bytes) -> Result[Call, Failure]:
        """Return the call that a client's request holds."""

    def encode_dispatch(self, dispatch: Dispatch) -> RequestHead:
        """Return the request that a server gets."""

    def decode_answer(self, head: AnswerHead) -> Answer:
        """Return what a server's answer means."""

    def own_answer(self, call_id: str, failure: Failure) -> tuple[int, Headers, bytes]:
        """Return the answer that a failure of this system's own gets."""

    def table_from(self, document: dict) -> Result[RouteTable, Failure]:
        """Return the route table of a configuration."""

    def reserve_order(
        self, server: str, name: str, tokens: int, lease_ms: int
    ) -> tuple[RequestHead, bytes]:
        """Return the order that reserves an engine's memory, or renews a reservation."""

    def report_request(self, server: str) -> RequestHead:
        """Return the question to an engine how it is."""

    def decode_report(self, status: int, body: bytes) -> EngineReport | None:
        """Return what an engine says of itself, or None if it cannot be read."""

    def release_order(self, server: str, name: str) -> tuple[RequestHead, bytes]:
        """Return the order that gives a reservation back."""
