"""Measure the processor time that feed followers and announcements cost a registry process.

Usage: python -m siskinspoke.bench.feed_slopes
"""

import os
import tempfile
import time
from pathlib import Path

import httpx
import trio

from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.feeds.follower import FeedClients, FeedHandlers, FollowerIdentity
from siskinspoke.testing.group_site import INTERNAL_PORTS, OPERATORS_PORT, GroupSite
from siskinspoke.testing.networks import FEED_SLOPES

SERVER_COUNT = 50
SETTLE_SECONDS, MEASURE_SECONDS = 3.0, 6.0
POINTS = ((0, 0), (50, 0), (100, 0), (0, 40), (100, 40))


def cpu_seconds(pid: int) -> float:
    """Return the processor time used by a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def follow(site: GroupSite, number: int, log: DecisionLog) -> None:
    """Run one follower of the registry's feed."""
    listener = FeedHandlers(
        on_publication=lambda version, document: None,
        on_news=lambda announcements: None,
        on_renewals=lambda items: None,
        on_remembered=lambda announcements: None,
        current_version=lambda: 0,
    )
    host = site.host_of("c1")
    me = FollowerIdentity(f"g{number}", site.host_of(f"g{number}"), 1)
    await FeedClients(me, (host,), INTERNAL_PORTS[0] + 1, b"test", listener, Counters(), log).run()


async def announce(site: GroupSite, rate: int) -> None:
    """Send ``rate`` announcements per second, for ``SERVER_COUNT`` servers in turn."""
    url = f"http://{site.host_of('c1')}:{OPERATORS_PORT}/instances/i-%d/heartbeat"
    seq = time.time_ns()
    async with httpx.AsyncClient(trust_env=False) as client:
        while True:
            seq += 1
            number = seq % SERVER_COUNT
            address = f"10.0.0.{number}:1"
            body = {"service": "s", "address": address, "zone": "a", "seq": seq}
            await client.post(url % number, json=body)
            await trio.sleep(1 / rate)


async def measure(site: GroupSite, followers: int, announcements: int, log: DecisionLog) -> float:
    """Return the fraction of a core that the registry uses at one load."""
    pid = site.pid("c1")
    async with trio.open_nursery() as nursery:
        for number in range(followers):
            nursery.start_soon(follow, site, number, log)
        if announcements:
            nursery.start_soon(announce, site, announcements)
        await trio.sleep(SETTLE_SECONDS)
        used, began = cpu_seconds(pid), time.monotonic()
        await trio.sleep(MEASURE_SECONDS)
        share = (cpu_seconds(pid) - used) / (time.monotonic() - began)
        nursery.cancel_scope.cancel()
    return share


async def main() -> None:
    """Measure and print all points."""
    site = GroupSite(Path(tempfile.mkdtemp(prefix="feed-slopes-")), FEED_SLOPES)
    site.seeds = [site.host_of("c1")]
    with open(os.devnull, "w") as devnull:
        log = DecisionLog("bench", devnull)
        try:
            site.start("c1", found=True)
            await trio.sleep(SETTLE_SECONDS)
            for followers, announcements in POINTS:
                share = await measure(site, followers, announcements, log)
                print(f"{followers} followers, {announcements} announcements/s: {share:.3f} cores")
        finally:
            site.close()


if __name__ == "__main__":
    trio.run(main)
