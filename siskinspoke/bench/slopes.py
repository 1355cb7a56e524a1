"""Measure the cost per message of each role at several rates, on real processes.

Usage: python -m siskinspoke.bench.slopes [FILE]

Writes the points and the fitted slopes to FILE as JSON; docs/CAPACITY.md is based on them.
"""

import os
import statistics
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

import msgspec
import numpy as np
import trio

from siskinspoke.core.counters import Counters
from siskinspoke.entry.control_client import ControlClient
from siskinspoke.loadgen.client import ApiClient, prompt_text
from siskinspoke.management.operators import OperatorClient
from siskinspoke.protocol.announcements import Announcement, Spread, extract_load
from siskinspoke.protocol.claims import ClaimRequest, SettleRequest, Target
from siskinspoke.testing.fleet import Fleet, wait_until
from siskinspoke.testing.networks import networks
from siskinspoke.testing.running_site import start_running_site
from siskinspoke.testing.site import DOMAINS, customer, customer_key, write_site
from siskinspoke.transport.datagrams import open_datagram_port

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
TARGET_ENTRIES = 420
TARGET_CUSTOMERS = 2_600
WINDOW_SECONDS = 6.0
CUSTOMER = "municipio-1"


class Point(NamedTuple):
    """One measurement: the amount of load, usually a rate, and the resources used."""

    amount: float
    cpu_seconds: float
    memory_mb: float
    bytes_sent: float = 0.0
    bytes_received: float = 0.0


def cpu_seconds(pid: int) -> float:
    """Return the processor time used by a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return float("nan")


def slope(points: list[Point], field: str = "cpu_seconds") -> float:
    """Return the marginal cost of one unit of load, by least squares."""
    amounts = [point.amount for point in points]
    costs = [getattr(point, field) for point in points]
    return float(np.polyfit(amounts, costs, 1)[0])


def announcement(number: int, seq: int, domain: str) -> Announcement:
    """Return an announcement of a fictitious engine."""
    queued = [0, 1_200, 0, 5_000, 0, 0, 90_000] + [0] * 9
    name = f"engine-{number:04}"
    return Announcement(
        name, 1_796_000_000_000, seq, domain, "127.0.0.1", 9, "model", "redactor", False, True,
        400_000, 210_000, 31, queued, 38_000.0, 12_345 + seq,
    )  # fmt: skip


def large_site(folder: Path) -> Fleet:
    """Return a fleet with settings of the target size, of whose VMs only a few are started."""
    net = networks().bench[0]
    many = [
        {
            "name": f"entry-{index:03}",
            "failure_domain": DOMAINS[index % 3],
            "host": f"127.{net}.{10 + index % 3}.{1 + index // 3}",
            "port": 8400,
            "internal_port": 8401,
        }
        for index in range(TARGET_ENTRIES)
    ]
    customers = {f"c-{number}": customer(f"c-{number}") for number in range(TARGET_CUSTOMERS)}
    customers[CUSTOMER] = customer(CUSTOMER)
    files = write_site(net, folder, entries=many, customers=customers)
    return Fleet(folder, files.base, files.overlay)


async def send_datagrams(
    fleet: Fleet, entry, rate: float, seconds: float, full_announcements: bool
) -> None:
    """Send announcements or load reports to one entry VM at a constant rate."""
    port = await open_datagram_port("127.0.0.1", 0, fleet.settings.internal_key, Counters())
    began = trio.current_time()
    servers = 100
    for sent in range(int(rate * seconds)):
        item = announcement(sent % servers, 10 + sent // servers, entry.failure_domain)
        message = item if full_announcements else extract_load(item, 0)
        if not full_announcements and sent < servers:
            message = Spread(item)
        await port.send(message, entry.host, entry.internal_port)
        await trio.sleep_until(began + (sent + 1) / rate)


def measure_announcements(fleet: Fleet, name: str, full_announcements: bool) -> list[Point]:
    """Measure an entry VM that receives load reports, or announcements that it forwards."""
    entry = fleet.settings.entry(name)
    points = []
    for rate in (0, 1, 2, 4, 8) if full_announcements else (0, 10, 20, 40, 80):
        before = fleet.status(name)["counters"]
        began = cpu_seconds(fleet.pid(name))
        if rate:
            trio.run(send_datagrams, fleet, entry, rate, WINDOW_SECONDS, full_announcements)
        else:
            time.sleep(WINDOW_SECONDS)
        used = cpu_seconds(fleet.pid(name)) - began
        after = fleet.status(name)["counters"]
        byte_rates = [
            (after.get(key, 0) - before.get(key, 0)) / WINDOW_SECONDS
            for key in ("datagram.bytes_sent", "datagram.bytes_received")
        ]
        points.append(
            Point(
                rate,
                used / WINDOW_SECONDS,
                memory_mb(fleet.pid(name)),
                byte_rates[0],
                byte_rates[1],
            )
        )
    return points


def measure_polls(fleet: Fleet, control_name: str) -> list[Point]:
    """Measure a control replica that entry VMs poll for newer configuration."""
    control = fleet.settings.control_vm(control_name)

    async def poll(rate: float) -> None:
        client = ControlClient([control], fleet.settings.internal_key, "bench", Counters())
        async with client, trio.open_nursery() as nursery:
            for number in range(int(rate * WINDOW_SECONDS)):
                nursery.start_soon(client.configuration_after, 10**9, 100)
                await trio.sleep(1 / rate)
                del number

    points = []
    for rate in (0, 25, 50, 100):
        began = cpu_seconds(fleet.pid(control_name))
        trio.run(poll, rate) if rate else time.sleep(WINDOW_SECONDS)
        used = cpu_seconds(fleet.pid(control_name)) - began
        points.append(Point(rate, used / WINDOW_SECONDS, memory_mb(fleet.pid(control_name))))
    return points


class ClaimRun(NamedTuple):
    """The cost of claims at one rate; latencies in milliseconds."""

    leader: Point
    follower: Point
    latency_p50: float
    latency_p99: float


def measure_claims(fleet: Fleet) -> list[ClaimRun]:
    """Measure leader, follower and claim latency at several rates of claims, each then settled."""
    leader = fleet.wait_leader()
    follower = next(c.name for c in fleet.settings.controls if c.name != leader)
    key, target = fleet.settings.internal_key, Target("s", 1, "127.0.0.1", 9)
    runs = []
    for rate in (0, 10, 25, 50, 100):
        latencies: list[float] = []

        async def send(rate: float = rate, latencies: list[float] = latencies) -> None:
            replicas = [fleet.settings.control_vm(leader)]
            client = ControlClient(replicas, key, "bench", Counters())
            expires = int((time.time() + 300) * 1000)

            async def one(number: int) -> None:
                name = f"c/{rate}-{number}-{time.time_ns()}"
                began = trio.current_time()
                await client.claim(ClaimRequest(name, expires, 600_000, name, target), 4)
                latencies.append((trio.current_time() - began) * 1000)
                await client.settle(SettleRequest(name, 1, True, 200, "done"), 4)

            async with client, trio.open_nursery() as nursery:
                for number in range(int(rate * WINDOW_SECONDS)):
                    nursery.start_soon(one, number)
                    await trio.sleep(1 / rate)

        pids = [fleet.pid(leader), fleet.pid(follower)]
        began = [cpu_seconds(pid) for pid in pids]
        trio.run(send) if rate else time.sleep(WINDOW_SECONDS)
        used = [cpu_seconds(pid) - at for pid, at in zip(pids, began, strict=True)]
        at_leader, at_follower = (
            Point(rate, spent / WINDOW_SECONDS, memory_mb(pid))
            for spent, pid in zip(used, pids, strict=True)
        )
        quantiles = np.percentile(latencies or [0], [50, 99])
        runs.append(ClaimRun(at_leader, at_follower, *map(float, quantiles)))
    return runs


def measure_requests(site, output: int) -> list[Point]:
    """Measure an entry VM that serves completions with a given number of output tokens."""
    name = "entry-sala-a-1"
    prompt = prompt_text(CUSTOMER, 0, 1, 1_000, 0.0)

    async def send(rate: float) -> None:
        async with site.caller(name) as caller, trio.open_nursery() as nursery:
            for _ in range(int(rate * WINDOW_SECONDS)):
                nursery.start_soon(
                    caller.complete, "redactor", customer_key(CUSTOMER), prompt, output, 60_000
                )
                await trio.sleep(1 / rate)

    points = []
    for rate in (2, 5, 10):
        began = cpu_seconds(site.fleet.pid(name))
        trio.run(send, rate)
        used = cpu_seconds(site.fleet.pid(name)) - began
        points.append(Point(rate, used / WINDOW_SECONDS, memory_mb(site.fleet.pid(name))))
    return points


def measure_added_latency(site) -> dict[str, float]:
    """Measure the latency that an entry VM adds to the first byte, with sequential requests."""
    spec = site.specs["engine-sala-a-1"]
    prompt = prompt_text(CUSTOMER, 0, 1, 1_000, 0.0)
    via_entry, direct = [], []

    async def send() -> None:
        async with site.caller("entry-sala-a-1") as caller:
            for number in range(150):
                outcome = await caller.complete(
                    "redactor", customer_key(CUSTOMER), prompt, 1, 20_000
                )
                via_entry.append(outcome.first_token * 1000)
                body = {
                    "request": f"direct-{number}", "attempt": 1, "model": "redactor",
                    "prompt": prompt, "max_tokens": 1, "priority": 0, "offset": 0,
                    "lease_ms": 5_000,
                }  # fmt: skip
                began = trio.current_time()
                url = f"http://{spec.host}:{spec.port}/v1/generate"
                response = await caller._client.post(url, json=body)
                response.raise_for_status()
                direct.append((trio.current_time() - began) * 1000)

    trio.run(send)
    median = statistics.median(via_entry) - statistics.median(direct)
    p99 = float(np.percentile(via_entry, 99) - np.percentile(direct, 99))
    return {"median_ms": median, "p99_ms": p99, "direct_median_ms": statistics.median(direct)}


def measure_stream_memory(site) -> list[Point]:
    """Measure the memory of an entry VM with many open streams."""
    name = "entry-sala-b-1"
    prompt = prompt_text(CUSTOMER, 0, 1, 1_000, 0.0)
    points = [Point(0, 0.0, memory_mb(site.fleet.pid(name)))]

    async def hold(count: int) -> None:
        async with ApiClient([site.entry_address(name)]) as caller, trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(
                    caller.complete, "redactor", customer_key(CUSTOMER), prompt, 400, 600_000
                )
                await trio.sleep(0.004)
            await trio.sleep(6)
            status = await trio.to_thread.run_sync(site.fleet.status, name)
            points.append(Point(status["open_requests"], 0.0, memory_mb(site.fleet.pid(name))))
            nursery.cancel_scope.cancel()

    for count in (250, 500, 1_000):
        trio.run(hold, count)
        wait_until(lambda: site.fleet.status(name)["open_requests"] == 0, "streams ended")
    return points


def measure_changes(site) -> dict[str, float]:
    """Measure the time from submitting a configuration until all entry VMs have it in force."""
    times = []
    with OperatorClient(site.fleet.settings) as operator:
        document = dict(site.fleet.settings.configuration_document)
        version = operator.control_status(site.fleet.leader()).document["configuration_version"]
        for number in range(40):
            body = {"order": f"m{number}", "operator": "m", "expect": version + number}
            began = time.monotonic()
            operator.post_to_leader("/v1/configuration", body | {"document": document}, 6)
            missing = operator.wait_until_applied(version + number + 1, 3)
            times.append(time.monotonic() - began if not missing else 9.0)
        began = time.monotonic()
        for number in range(40, 90):
            body = {"order": f"m{number}", "operator": "m", "expect": version + number}
            operator.post_to_leader("/v1/configuration", body | {"document": document}, 6)
        missing = operator.wait_until_applied(version + 90, 3)
        burst = time.monotonic() - began if not missing else 9.0
    return {
        "p50_s": float(np.percentile(times, 50)),
        "p99_s": float(np.percentile(times, 99)),
        "burst_of_50_s": burst,
    }


def measure_leader_failures(site) -> dict[str, float]:
    """Measure how long a claim waits after the leader is killed."""
    waits = []
    for number in range(8):
        leader = site.fleet.wait_leader()
        site.fleet.kill(leader)
        began = time.monotonic()

        async def claim(number: int = number) -> None:
            settings = site.fleet.settings
            client = ControlClient(settings.controls, settings.internal_key, "b", Counters())
            expires = int((time.time() + 60) * 1000)
            name = f"death-{number}-{time.time_ns()}"
            request = ClaimRequest(name, expires, 600_000, name, Target("s", 1, "127.0.0.1", 9))
            async with client:
                await client.claim(request, 20)

        trio.run(claim)
        waits.append(time.monotonic() - began)
        site.fleet.start_control(leader)
        control = site.fleet.settings.control_vm(leader)
        site.fleet.wait_listening(control.host, control.port)
        time.sleep(1.0)
    return {"median_s": statistics.median(waits), "longest_s": max(waits), "times": len(waits)}


def measure_idle(fleet: Fleet, names: list[str]) -> dict[str, Point]:
    """Measure processes that handle only control traffic."""
    began = {name: cpu_seconds(fleet.pid(name)) for name in names}
    time.sleep(WINDOW_SECONDS * 2)
    return {
        name: Point(
            0, (cpu_seconds(fleet.pid(name)) - began[name]) / WINDOW_SECONDS / 2,
            memory_mb(fleet.pid(name)),
        )
        for name in names
    }  # fmt: skip


def measure_target_size(folder: Path) -> dict:
    """Measure an entry VM and control replicas with settings of the target size."""
    with large_site(folder) as fleet:
        for control in fleet.settings.controls:
            fleet.start_control(control.name)
        fleet.start_entry("entry-000")
        entry = fleet.settings.entry("entry-000")
        fleet.wait_listening(entry.host, entry.port)
        leader = fleet.wait_leader()
        follower = next(c.name for c in fleet.settings.controls if c.name != leader)
        loads = measure_announcements(fleet, "entry-000", full_announcements=False)
        announcements = measure_announcements(fleet, "entry-000", full_announcements=True)
        idle = measure_idle(fleet, ["entry-000", leader, follower])
        polls = measure_polls(fleet, follower)
        claims = measure_claims(fleet)
    return {
        "idle_entry": idle["entry-000"],
        "idle_leader": idle[leader],
        "idle_follower": idle[follower],
        "loads": loads,
        "cpu_per_load_s": slope(loads),
        "bytes_received_per_load": slope(loads, "bytes_received"),
        "announcements": announcements,
        "cpu_per_announcement_spread_s": slope(announcements),
        "bytes_sent_per_announcement_spread": slope(announcements, "bytes_sent"),
        "bytes_received_per_announcement": slope(announcements, "bytes_received"),
        "polls": polls,
        "cpu_per_poll_s": slope(polls),
        "claims": claims,
        "leader_cpu_per_claim_s": slope([run.leader for run in claims]),
        "follower_cpu_per_claim_s": slope([run.follower for run in claims]),
    }


def measure_small_site(stack: ExitStack, folder: Path) -> dict:
    """Measure the data path, configuration changes and leader failures at a small site."""
    site = start_running_site(
        stack, folder, networks().bench[1], entries_per_domain=2,
        engine_flags=("--memory_tokens=4000000",),
    )  # fmt: skip
    one, many = measure_requests(site, 1), measure_requests(site, 101)
    added = measure_added_latency(site)
    streams = measure_stream_memory(site)
    changes = measure_changes(site)
    failures = measure_leader_failures(site)
    return {
        "requests_of_1_token": one,
        "requests_of_101_tokens": many,
        "cpu_per_request_s": slope(one),
        "cpu_per_token_s": (slope(many) - slope(one)) / 100,
        "added": added,
        "streams": streams,
        "memory_per_stream_mb": slope(streams, "memory_mb"),
        "changes": changes,
        "leader_deaths": failures,
    }


def main(path: Path) -> None:
    """Run all measurements, and write and print the results."""
    with tempfile.TemporaryDirectory() as directory, ExitStack() as stack:
        folder = Path(directory)
        small = measure_small_site(stack, folder / "small")
        stack.close()
        results = measure_target_size(folder / "large") | small
    document = msgspec.json.format(msgspec.json.encode(results), indent=1)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(document + b"\n")
    print(document.decode())


if __name__ == "__main__":
    main(Path(sys.argv[1]) if len(sys.argv) > 1 else Path("docs/bench/slopes.json"))
