"""Faults of uneven load for the soak test: evacuations, cuts of domains and cold servers.

The checks are those of ``siskinspoke.testing.server_account``, from what the servers see.
"""

from __future__ import annotations

import random
from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from tests.platform.site import document

if TYPE_CHECKING:
    from tests.soak.soak import Soak

DOMAINS = ("a", "b")
COLD_SECONDS = 3.0
COLD_PER_SECOND = 2
# The defaults of ``cold_overshoot`` and ``cold_slack``.
COLD_BOUND = COLD_PER_SECOND * 1.5 + 5
# Time without a process when a server restarts.
DOWN_SECONDS = 0.5
# How long an operator repeats an order, and the statuses after which it gives up at once, or at the
# third try for any other below 500.
ACK_SECONDS = 5.0
FINAL_STATUSES = (400, 409, 412, 413, 422)
MAX_REFUSALS = 3
# Time after which the evacuations have to be ended when the faults are over.
END_SECONDS = 30.0
DELAYED_DATA_SECONDS = 0.5


class OrderGivenUpError(Exception):
    """An operator has given up an order that is valid."""


class UnevenFaults:
    """Evacuate, cut off and restart the two failure domains of a soak's servers."""

    def __init__(self, soak: Soak, rng: random.Random, registries: tuple[str, ...]):
        self._soak = soak
        self._rng = rng
        self._registries = registries
        self._cold_until: dict[int, float] = {}
        services = [{**item, "cold_s": COLD_SECONDS} for item in document()["services"]]
        self.configuration = {
            "services": [{**item, "cold_per_s": COLD_PER_SECOND} for item in services]
        }

    @staticmethod
    def domain_of(number: int) -> str:
        """Return the failure domain of a server."""
        return DOMAINS[number % len(DOMAINS)]

    def _numbers(self, domain: str) -> list[int]:
        count = len(self._soak.servers)
        return [number for number in range(count) if self.domain_of(number) == domain]

    def heartbeat_fields(self, number: int) -> dict:
        """Return the fields of a server's heartbeat that differ from those of an even soak."""
        left = self._cold_until.get(number, 0.0) - trio.current_time()
        return {"zone": self.domain_of(number), "cold_left_ms": max(0, round(left * 1000))}

    async def inject_forever(self) -> None:
        """Inject all faults, which may overlap."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._evacuate_forever)
            nursery.start_soon(self._disturb_domains_forever)

    async def _evacuate_forever(self) -> None:
        """Evacuate one domain after the other, for a short or a long time.

        A refused order is a violation, after which there are no more evacuations.
        """
        with suppress(OrderGivenUpError):
            while True:
                await trio.sleep(self._rng.uniform(0.2, 2.0))
                domain = self._rng.choice(DOMAINS)
                await self._begin(domain)
                await trio.sleep(self._rng.choice((0.0, 0.5, 2.0, 7.0, 9.0)))
                await self._end(domain)

    async def _begin(self, domain: str) -> None:
        if not await self._order(domain, "begin"):
            return
        for number in self._numbers(domain):
            self._soak.servers[number].account.record_evacuation(trio.current_time())

    async def _end(self, domain: str) -> None:
        """Order the end until it is acknowledged; an unacknowledged order may be in force."""
        for number in self._numbers(domain):
            self._soak.servers[number].account.record_evacuation_end()
        while not await self._order(domain, "end"):
            await trio.sleep(0.1)

    async def _order(self, domain: str, word: str) -> bool:
        """Send an order as an operator does; return whether it was acknowledged.

        A missing acknowledgement is a violation unless a control VM was disturbed meanwhile.
        """
        soak = self._soak
        began = trio.current_time()
        disturbed = False
        refusals = 0
        while trio.current_time() - began < ACK_SECONDS:
            disturbed = disturbed or not soak.down.isdisjoint(self._registries)
            registry = self._rng.choice(self._registries)
            path = f"/evacuation/{domain}/{word}"
            status, _ = await soak.call_registry(registry, "POST", path)
            if status == 200:
                soak.record_fault(f"evacuation of {domain}: {word}")
                return True
            refusals += 400 <= status < 500
            if status in FINAL_STATUSES or refusals == MAX_REFUSALS:
                soak.violations.append(f"{word} of {domain} was refused with {status}")
                raise OrderGivenUpError(f"{word} of {domain}: {status}")
            await trio.sleep(0.05)
        if not disturbed:
            soak.violations.append(f"{word} of {domain} was not acknowledged in {ACK_SECONDS:g} s")
        return False

    async def end_all(self) -> None:
        """End all evacuations, after all other faults are over."""
        with suppress(OrderGivenUpError), trio.move_on_after(END_SECONDS) as limit:
            for domain in DOMAINS:
                await self._end(domain)
        if limit.cancelled_caught:
            self._soak.violations.append(f"evacuations could not be ended in {END_SECONDS:g} s")

    async def _disturb_domains_forever(self) -> None:
        while True:
            await trio.sleep(self._rng.uniform(1.0, 4.0))
            domain = self._rng.choice(DOMAINS)
            if self._rng.random() < 0.5:
                await self._cut_off(domain)
            else:
                await self._return_cold(domain)

    async def _cut_off(self, domain: str) -> None:
        """Partition a domain's servers from all gateways for a while."""
        soak = self._soak
        proxies = [soak.proxies[number] for number in self._numbers(domain)]
        mode = self._rng.choice(("silent", "one_way", "reset"))
        seconds = self._rng.uniform(0.5, 2.5)
        soak.record_fault(f"{mode} domain {domain}")
        for proxy in proxies:
            proxy.mode = mode
            until = trio.current_time() + seconds + 2 * DELAYED_DATA_SECONDS
            proxy.server.account.record_delay(until)
        with trio.CancelScope(shield=True):
            await trio.sleep(seconds)
        for proxy in proxies:
            proxy.mode = "pass"
        await soak.record_delayed_data(*(proxy.server for proxy in proxies))

    async def _return_cold(self, domain: str) -> None:
        """Restart all servers of a domain at once."""
        self._soak.record_fault(f"domain {domain} returns cold")
        async with trio.open_nursery() as nursery:
            for number in self._numbers(domain):
                nursery.start_soon(self.restart_cold, number)

    async def restart_cold(self, number: int) -> None:
        """Restart a server; it announces itself, and is reached afterwards."""
        soak = self._soak
        proxy = soak.proxies[number]
        proxy.mode = "down"
        proxy.close_connections()
        with trio.CancelScope(shield=True):
            await trio.sleep(DOWN_SECONDS)
        proxy.server.rate_limit, proxy.server.leaving = None, False
        proxy.server.account.record_restart()
        soak.start_numbers[number] += 1_000
        soak.sequence_numbers[number] = 0
        until = trio.current_time() + COLD_SECONDS
        self._cold_until[number] = until
        proxy.server.account.record_cold(until, COLD_BOUND)
        with trio.CancelScope(shield=True):
            await soak.send_heartbeat(number)
        proxy.mode = "pass"
