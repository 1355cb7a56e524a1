"""Find out which servers this VM can reach, also while it has no requests."""

import trio
from loguru import logger

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.forwarding.reach import Area
from siskinspoke.coordination.witnesses import choose_witnesses
from siskinspoke.entry.context import EntryContext, now_ms, target_of

PROBE_INTERVAL_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 0.3
# A single server that does not answer within this time is reason for a survey, no more.
SAMPLE_TIMEOUT_SECONDS = 0.15
# The timeout grows with this many times the lateness of timers, up to a bound.
LATENESS_FACTOR = 2.0
MAX_LATE_SECONDS = 0.2


def servers_by_area(context: EntryContext) -> dict[Area, list[ServerRecord]]:
    """Return the servers that announce themselves, including those that are suspended."""
    found: dict[Area, list[ServerRecord]] = {}
    for record in context.directory.all_records():
        announcement = record.announcement
        if context.is_alive(target_of(record)) and not announcement.leaving:
            if context.crashes.has_crashed(record.start):
                continue
            area = Area(announcement.service, announcement.failure_domain)
            found.setdefault(area, []).append(record)
    context.reach.retain(found)
    return found


def is_out_of_reach(context: EntryContext, service: str) -> bool:
    """Return whether this VM can reach none of the servers of a service."""
    if not context.reach.unreachable:
        return False
    return context.reach.is_out_of_reach(service, servers_by_area(context), now_ms())


class ServerProber:
    """Probes one server at a time while none answers requests, and all once one does not answer."""

    def __init__(self, context: EntryContext):
        self._context = context
        self._survey_done: trio.Event | None = None

    async def run(self) -> None:
        """Probe servers forever."""
        context = self._context
        while True:
            await trio.sleep(PROBE_INTERVAL_SECONDS * context.rng.uniform(0.75, 1.25))
            areas = servers_by_area(context)
            lost = [area for area in areas if area in context.reach.unreachable]
            others = [area for area in areas if area not in context.reach.unreachable]
            async with trio.open_nursery() as nursery:
                for area in lost:
                    nursery.start_soon(self._probe_area, area, areas[area], 1)
                has_answered = context.reach.has_answered_since(
                    now_ms() - 1000 * PROBE_INTERVAL_SECONDS
                )
                if others and not has_answered:
                    nursery.start_soon(self._sample, areas[context.rng.choice(others)])

    async def _sample(self, records: list[ServerRecord]) -> None:
        record = self._context.rng.choice(records)
        if not await self._answers(record, SAMPLE_TIMEOUT_SECONDS):
            await self.survey()

    async def survey(self) -> None:
        """Probe two servers of each area, unless that is already being done, and wait for it."""
        if self._survey_done is not None:
            await self._survey_done.wait()
            return
        done = self._survey_done = trio.Event()
        self._context.counters.count("survey.run")
        try:
            async with trio.open_nursery() as nursery:
                for area, records in servers_by_area(self._context).items():
                    nursery.start_soon(self._probe_area, area, records, None)
        finally:
            self._survey_done = None
            done.set()

    async def _probe_area(self, area: Area, records: list[ServerRecord], count: int | None) -> None:
        """Probe ``count`` servers of an area, by default as many as witnesses of a crash."""
        context = self._context
        by_name = {record.announcement.server: record for record in records}
        chosen = choose_witnesses(sorted(by_name), context.rng)[:count]
        results: list[bool] = []

        async def probe(record: ServerRecord) -> None:
            results.append(await self._answers(record, PROBE_TIMEOUT_SECONDS))

        async with trio.open_nursery() as nursery:
            for name in chosen:
                nursery.start_soon(probe, by_name[name])
        if context.reach.record_probes(area, results):
            lost = area in context.reach.unreachable
            context.counters.gauge("areas.unreachable", len(context.reach.unreachable))
            logger.info(
                "{} {}",
                "servers.unreachable" if lost else "servers.reachable",
                {"service": area.service, "domain": area.domain, "probed": chosen},
            )
            if not lost:
                context.directory.end_suspensions(by_name)

    async def _answers(self, record: ServerRecord, seconds: float) -> bool:
        # On a busy machine timers fire late, and servers answer late.
        late = min(MAX_LATE_SECONDS, self._context.stall_detector.timer_lateness)
        seconds += LATENESS_FACTOR * late
        return await self._context.backend.answers(target_of(record), seconds)
