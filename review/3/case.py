"""A draining gateway accepts plain calls that it cuts off before they can end."""

import asyncio
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

from deployment import CannotRunError, Deployment, Heartbeat, Record
from play import play
from standins import Answer, Connection, Received, Server, ask, plain_answer

TIMEOUT_MS = 4000
DEADLINE_MS = 5000
# Well within the timeout of the route.
WORK_SECONDS = 3.4
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-once",
            "host": "ficu95.example",
            "path_prefix": "/puxa403/",
            "kind": "non_idempotent",
            "timeout_ms": TIMEOUT_MS,
            "target_latency_ms": 4000,
            "priority": 1,
            "service": "wuno96b",
            "max_attempts": 1,
            "public": False,
        }
    ],
    "services": [{"name": "wuno96b", "health_path": "/healthz", "max_conns": 100}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}],
}
SECONDS = 16.0
TERM_AFTER = 3.0
GAP_SECONDS = 1.0
INTERVAL_SECONDS = 0.16
GRACE_SECONDS = 8.0


class Application(Server):
    """A sound server whose calls take some seconds."""

    def __init__(self, record: Record, name: str):
        super().__init__(record, name)
        self.ended: dict[str, float] = {}

    async def serve(self, request: Received, connection: Connection) -> bool:
        """Run a call, and answer it."""
        request_id = self.begin(request)
        await asyncio.sleep(WORK_SECONDS)
        self.ended[request_id] = time.monotonic()
        connection.writer.write(plain_answer(request_id, b"done"))
        await connection.writer.drain()
        return True


@dataclass
class Call:
    """One call of a client, and the machine that the platform has given it to."""

    request_id: str
    host: str
    sent_at: float
    answer: Answer | None = None
    ended_at: float = 0.0


@dataclass
class Balancer:
    """The platform's balancer for one zone, as the page PROTOCOL.md tells it."""

    deployment: Deployment
    misses: dict[str, int] = field(default_factory=dict)
    turn: int = 0

    async def watch(self) -> None:
        """Ask each machine once a second whether it is ready."""
        while True:
            for host in self.deployment.fronts:
                is_ready = await self.deployment.ready_status(host) == 200
                self.misses[host] = 0 if is_ready else self.misses.get(host, 0) + 1
            await asyncio.sleep(1.0)

    def choose(self) -> str | None:
        """Return the machine for a new connection."""
        hosts = self.deployment.fronts
        rotation = [host for host in hosts if self.misses.get(host, 0) < 2]
        if not rotation:
            # The platform would use the machines of other zones.
            return None
        if 2 * len(rotation) < len(hosts):
            rotation = hosts
        self.turn += 1
        return rotation[self.turn % len(rotation)]


async def send(deployment: Deployment, call: Call) -> None:
    """Send one call on a connection of its own."""
    headers = {
        "Host": "ficu95.example",
        "Request-Id": call.request_id,
        "Deadline-Ms": str(DEADLINE_MS),
        "Api-Key": "n2ctnfzs989anu6wsjnb",
    }
    call.sent_at = time.monotonic()
    call.answer = await ask(
        call.host, deployment.front_port, "POST", "/puxa403/2f", headers, b"{}" * 300
    )
    call.ended_at = time.monotonic()
    state = "complete" if call.answer.complete else "no complete answer"
    deployment.record.note(
        f"client: {call.request_id} at {call.host} got {call.answer.status}, {state}, "
        f"after {call.answer.seconds:.2f} s"
    )


async def terminate(deployment: Deployment, at: dict[str, float]) -> None:
    """Stop two of the three machines in turn; each is started again once it has ended."""

    async def restart(host: str) -> None:
        while deployment.is_running(host):
            await asyncio.sleep(0.05)
        deployment.record.note(f"platform: {host} has ended")
        await asyncio.sleep(0.3)
        deployment.start(host)

    async with asyncio.TaskGroup() as group:
        for host in deployment.fronts[:2]:
            at[host] = time.monotonic()
            deployment.signal(host, signal.SIGTERM)
            group.create_task(restart(host))
            await asyncio.sleep(GAP_SECONDS)


async def case(record: Record, trouble: bool) -> list[str]:
    """Send calls steadily while two of a zone's three machines are stopped."""
    deployment = Deployment(record, ["a", "a", "a"])
    servers = [Application(record, f"i-7f3a91c{number}") for number in range(4)]
    balancer = Balancer(deployment)
    calls: list[Call] = []
    terminated: dict[str, float] = {}
    tasks = []
    try:
        for server in servers:
            address = await server.listen(deployment.servers_host)
            heartbeat = Heartbeat(server.name, "wuno96b", address, "a", 8)
            tasks.append(asyncio.create_task(deployment.heartbeats(heartbeat)))
        await deployment.start_all(CONFIGURATION)
        tasks.append(asyncio.create_task(balancer.watch()))
        await asyncio.sleep(3.0)
        began, stopping = time.monotonic(), None
        async with asyncio.TaskGroup() as group:
            while time.monotonic() - began < SECONDS:
                if trouble and stopping is None and time.monotonic() - began >= TERM_AFTER:
                    stopping = group.create_task(terminate(deployment, terminated))
                host = balancer.choose()
                if host is not None:
                    calls.append(Call(f"{len(calls) + 1:016x}", host, 0.0))
                    group.create_task(send(deployment, calls[-1]))
                await asyncio.sleep(INTERVAL_SECONDS)
    finally:
        for task in tasks:
            task.cancel()
        for server in servers:
            server.close()
        deployment.close()
    return judge(record, servers, calls, terminated)


def judge(
    record: Record, servers: list[Application], calls: list[Call], terminated: dict[str, float]
) -> list[str]:
    """Return the calls that the rule LOST counts."""
    runs = {request_id for server in servers for request_id in server.runs}
    served = sum(call.answer.status == 200 and call.answer.complete for call in calls)
    record.note(f"{len(calls)} calls, {served} served, {len(runs)} runs")
    if served < len(calls) // 2:
        raise CannotRunError("too few calls were served")
    broken = []
    for call in calls:
        since = call.sent_at - terminated.get(call.host, call.sent_at - 99)
        if call.answer.complete or call.request_id not in runs or since <= 3.0:
            continue
        if since > GRACE_SECONDS + 1 or call.answer.seconds >= TIMEOUT_MS / 1000:
            continue
        broken.append(
            f"LOST: {call.request_id} was sent {since:.2f} s after the SIGTERM, was passed on to "
            f"a server, and its connection ended after {call.answer.seconds:.2f} s "
            "without an answer"
        )
    return broken


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
