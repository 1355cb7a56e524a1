"""The registry of a control VM: announcements of backend servers, and the configuration.

It gives two guarantees. A leave is confirmed only after all VMs that can be reached have
received it. A configuration, or an order to evacuate a failure domain, is accepted only once a
majority has it on disk; a configuration is read only from a replica that knows that there is no
newer one.
"""

import math
from collections.abc import Mapping, Set
from types import MappingProxyType
from typing import NamedTuple

import msgspec
import trio
from expression import Error, Ok, Result

from siskinspoke.control.feed_hub import ConfigurationVersion, FeedHub
from siskinspoke.control.replica_task import ReplicaTask, now_ms
from siskinspoke.coordination.announcement_checks import announcement_fault
from siskinspoke.coordination.cold_servers import ColdSource, has_cold_changed
from siskinspoke.coordination.directory import AnnouncementEffect, Directory, start_of
from siskinspoke.coordination.evacuations import (
    EvacuationAnswer,
    EvacuationOrder,
    EvacuationTable,
    is_valid_domain,
)
from siskinspoke.coordination.state_machine import EVACUATE, PUBLISH, PublishRequest
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.protocol.announcements import Announcement

# Clients try another VM after 1 s without an answer, so these timeouts are shorter.
LEAVE_TIMEOUT_SECONDS = 0.4
PUBLISH_TIMEOUT_SECONDS = 0.9
READ_TIMEOUT_SECONDS = 0.7
EVACUATION_TIMEOUT_SECONDS = 0.9
# How long the read may take that tells whether a failure domain was named by an earlier order.
DOMAIN_READ_TIMEOUT_SECONDS = 0.4
# An order that finds no leader is proposed again after this time.
LEADER_POLL_SECONDS = 0.05
# Minimum interval between log lines for refused announcements, which may arrive without end.
REFUSED_LOG_INTERVAL_MS = 1_000.0


class PublishResult(NamedTuple):
    """The result of a publish: whether it is known to be accepted, and the version in force."""

    accepted: bool
    version: int


class Registry:
    """Process announcements and configurations and send the changes to followers."""

    def __init__(
        self,
        directory: Directory,
        counters: Counters,
        log: DecisionLog,
        vm: str = "",
        domain_regions: Mapping[str, str] = MappingProxyType({}),
    ):
        self._vm = vm
        self._domain_regions = domain_regions
        self._directory = directory
        self._counters = counters
        self._log = log
        self._hub: FeedHub | None = None
        self._task: ReplicaTask | None = None
        self._refusal_logged_at = -math.inf

    def set_hub(self, hub: FeedHub) -> None:
        """Set the hub that sends changes to followers."""
        self._hub = hub

    def set_replica(self, task: ReplicaTask | None) -> None:
        """Set the running replica, or None while there is none."""
        self._task = task

    @property
    def configuration(self) -> ConfigurationVersion:
        """Return the configuration that this replica has applied."""
        if self._task is None:
            return ConfigurationVersion(0, None)
        machine = self._task.machine
        return ConfigurationVersion(machine.version, machine.document)

    @property
    def evacuations(self) -> EvacuationTable:
        """Return the evacuations that this replica has applied."""
        return EvacuationTable() if self._task is None else self._task.machine.evacuations

    def last_announcement(self, server: str) -> Announcement | None:
        """Return the last announcement of a server."""
        record = self._directory.latest(server)
        return record.announcement if record is not None else None

    def find_fault(self, announcement: Announcement, services: Set[str] | None) -> Failure | None:
        """Return why an announcement is refused, or None; ``services`` are those in force."""
        known = self.last_announcement(announcement.server)
        fault = announcement_fault(announcement, known, services)
        return None if fault is None else Failure(ResultCode.INVALID_FIELD, fault.value)

    def record_refusal(self, server: str, fault: Failure) -> None:
        """Count a refused announcement and log it, subject to a rate limit."""
        self._counters.count("announcement.refused")
        now = now_ms()
        if now - self._refusal_logged_at < REFUSED_LOG_INTERVAL_MS:
            return
        self._refusal_logged_at = now
        self._log.note("server.refused", server=server[:100], reason=fault.message[:300])

    async def announce(self, announcement: Announcement) -> bool:
        """Process an announcement; return whether it may be confirmed to its sender."""
        cold_changed = self._has_cold_changed(announcement)
        effect = self._directory.apply(announcement, now_ms())
        self._counters.count(f"announcement.{effect.value}")
        if announcement.leaving:
            return await self._broadcast_leave(announcement, effect)
        if effect is AnnouncementEffect.JOINED:
            self._note(announcement, effect)
            self._hub.queue_broadcast([announcement])
        elif effect is AnnouncementEffect.RENEWED and cold_changed:
            self._note_cold_change(announcement)
            self._hub.queue_broadcast([announcement])
        elif effect is AnnouncementEffect.RENEWED:
            self._hub.queue_renewal(announcement)
        return True

    def _has_cold_changed(self, announcement: Announcement) -> bool:
        """Return whether a known server states another end of its cold state than before."""
        known = self._directory.find(*start_of(announcement))
        if known is None or announcement.leaving:
            return False
        return has_cold_changed(known.announcement_at(now_ms()).cold_ms, announcement.cold_ms)

    def _note_cold_change(self, announcement: Announcement) -> None:
        self._counters.count("announcement.cold_changed")
        self._log.note(
            "server.cold" if announcement.cold_ms else "server.warm",
            server=announcement.server,
            start=announcement.incarnation,
            until=announcement.cold_ms,
            source=ColdSource.ANNOUNCED.value,
        )

    async def _broadcast_leave(
        self, announcement: Announcement, effect: AnnouncementEffect
    ) -> bool:
        """Send a leave, also a repeated one, to all followers and wait for their receipts.

        The server stops within a bounded time after the confirmation. If this VM crashed in
        between, a follower without the leave would keep sending to a stopped server.
        """
        number = self._hub.broadcast([announcement])
        unconfirmed = await self._hub.wait_until_confirmed(number, LEAVE_TIMEOUT_SECONDS)
        followers = self._hub.follower_count
        self._note(announcement, effect, unconfirmed=unconfirmed, followers=followers)
        return followers > unconfirmed

    def handle_remote_announcements(self, announcements: list[Announcement]) -> None:
        """Process announcements received from another control VM and forward the new ones."""
        new, has_left = [], False
        for announcement in announcements:
            cold_changed = self._has_cold_changed(announcement)
            effect = self._directory.apply(announcement, now_ms())
            if effect in (AnnouncementEffect.JOINED, AnnouncementEffect.LEFT):
                self._note(announcement, effect)
                new.append(announcement)
                has_left = has_left or effect is AnnouncementEffect.LEFT
            elif effect is AnnouncementEffect.RENEWED and cold_changed:
                self._note_cold_change(announcement)
                new.append(announcement)
        if has_left:
            self._hub.broadcast(new)
        elif new:
            self._hub.queue_broadcast(new)

    def restore_servers(self, announcements: list[Announcement]) -> None:
        """Restore servers that a VM knew before its restart and forward the new ones."""
        now = now_ms()
        new = [item for item in announcements if self._directory.restore(item, now)]
        self._log.note("servers.remembered", told=len(announcements), new=len(new))
        if new:
            self._hub.broadcast_restored(new)

    def handle_renewals(self, items: list[tuple[str, int, int]]) -> None:
        """Renew the servers whose announcements another control VM has received."""
        for server, incarnation, seq in items:
            self._directory.renew(server, incarnation, seq, now_ms())

    def _note(self, announcement: Announcement, effect: AnnouncementEffect, **more) -> None:
        self._log.note(
            f"server.{effect.value}",
            server=announcement.server,
            service=announcement.service,
            address=f"{announcement.host}:{announcement.port}",
            start=announcement.incarnation,
            seq=announcement.seq,
            leaving=announcement.leaving,
            **more,
        )

    async def publish(self, version: int, document: dict) -> PublishResult:
        """Replicate a validated configuration and wait until a majority has it."""
        if self._task is None:
            return PublishResult(False, 0)
        pending = await self._task.execute(
            PUBLISH, PublishRequest(version, document), PUBLISH_TIMEOUT_SECONDS
        )
        accepted = pending.value is not None
        self._counters.count("publish.accepted" if accepted else "publish.unknown")
        self._log.note(
            "configuration.publish",
            version=version,
            known=accepted,
            held=self.configuration.version,
            leader=self._task.replica.leader,
            role=self._task.replica.role.value,
            term=self._task.replica.term,
            unheard_ms=round(now_ms() - self._task.replica.last_leader_contact_at),
        )
        return PublishResult(accepted, self.configuration.version)

    async def read(self) -> ConfigurationVersion | None:
        """Return the newest configuration, or None if this VM cannot confirm that it is."""
        if self._task is None or not await self._task.wait_until_readable(READ_TIMEOUT_SECONDS):
            self._counters.count("read.unsure")
            return None
        return self.configuration

    async def evacuate(self, domain: str, begin: bool) -> Result[EvacuationAnswer, Failure]:
        """Replicate an order to begin or end an evacuation and wait until a majority has it.

        The failures are INVALID_FIELD, UNKNOWN_DOMAIN and, if the outcome is unknown, NO_QUORUM.
        """
        began = trio.current_time()
        failure = await self._find_domain_fault(domain)
        if failure is not None:
            self._counters.count("evacuation.refused")
            self._log_evacuation(domain, begin, reason=failure.code.name)
            return Error(failure)
        order = EvacuationOrder(domain, begin, self._vm)
        seconds = EVACUATION_TIMEOUT_SECONDS - (trio.current_time() - began)
        answer = await self._execute_evacuation(order, seconds)
        if answer is None:
            self._counters.count("evacuation.unknown")
            self._log_evacuation(domain, begin, reason=ResultCode.NO_QUORUM.name)
            message = "no majority confirmed the order in time; send it again"
            return Error(Failure(ResultCode.NO_QUORUM, message))
        if answer.changed:
            self._counters.count("evacuation.begun" if begin else "evacuation.ended")
        self._log_evacuation(domain, begin, answer)
        return Ok(answer)

    def list_evacuations(self) -> list[dict]:
        """Return the evacuations that this replica has applied, and who has confirmed each.

        The entry VMs are those that follow this control VM.
        """
        confirmed = self._hub.confirmed_evacuations
        return [
            {
                "domain": item.domain,
                "revision": item.revision,
                "begun_ms": item.begun_ms,
                "accepted_by": item.accepted_by,
                "confirmed": sorted(vm for vm, held in confirmed.items() if held >= item.revision),
                "unconfirmed": sorted(vm for vm, held in confirmed.items() if held < item.revision),
            }
            for item in self.evacuations.evacuations
        ]

    async def are_evacuations_current(self) -> bool:
        """Return whether a majority confirms that this replica has applied all accepted orders."""
        return self._task is not None and await self._task.wait_until_readable(READ_TIMEOUT_SECONDS)

    async def _execute_evacuation(
        self, order: EvacuationOrder, seconds: float
    ) -> EvacuationAnswer | None:
        """Return the answer to an order; wait for a leader if none is known."""
        with trio.move_on_after(seconds):
            while True:
                task = self._task
                if task is not None:
                    pending = await task.execute(EVACUATE, order, seconds)
                    if pending.value is not None:
                        return msgspec.convert(pending.value, EvacuationAnswer)
                    if pending.leader:
                        return None
                await trio.sleep(LEADER_POLL_SECONDS)
        return None

    async def _find_domain_fault(self, domain: str) -> Failure | None:
        """Return why a failure domain cannot be evacuated, or None.

        A domain that this VM does not know may have been accepted by another one, whose orders this
        replica may not have applied yet; a repeat of such an order must not be refused.
        """
        if not self._domain_regions:
            if is_valid_domain(domain):
                return None
            return Failure(ResultCode.INVALID_FIELD, "not the name of a failure domain")
        if self._knows_domain(domain):
            return None
        task = self._task
        if task is None or not await task.wait_until_readable(DOMAIN_READ_TIMEOUT_SECONDS):
            message = "this VM cannot tell whether the failure domain exists"
            return Failure(ResultCode.NO_QUORUM, message)
        if self.evacuations.has_ordered(domain):
            return None
        return Failure(ResultCode.UNKNOWN_DOMAIN, "no such failure domain")

    def _knows_domain(self, domain: str) -> bool:
        if domain in self._domain_regions or self.evacuations.has_ordered(domain):
            return True
        records = self._directory.all_records()
        servers = {record.announcement.failure_domain for record in records}
        return bool(domain) and domain in servers | self._hub.failure_domains

    def _log_evacuation(
        self, domain: str, begin: bool, answer: EvacuationAnswer | None = None, **more: str
    ) -> None:
        if answer is None:
            now = now_ms()
            if now - self._refusal_logged_at < REFUSED_LOG_INTERVAL_MS:
                return
            self._refusal_logged_at = now
        self._log.note(
            "evacuation.order",
            domain=domain[:100],
            order="begin" if begin else "end",
            accepted=answer is not None,
            changed=answer is not None and answer.changed,
            revision=self.evacuations.revision if answer is None else answer.revision,
            leader=None if self._task is None else self._task.replica.leader,
            **more,
        )
