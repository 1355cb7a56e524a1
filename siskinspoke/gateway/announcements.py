"""Handling of announcements, including those of backend servers that restarted under their name.

The new process has none of the state of the old one. Requests still open at the old process will
not be answered, its recorded failures and pace do not apply to the new process, and the work
recorded for it is gone.
"""

from siskinspoke.coordination.directory import AnnouncementEffect, start_of
from siskinspoke.gateway.cold import is_after_first_news, log_cold_change
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.protocol.announcements import Announcement


def _record_cold(gateway: Gateway, announcement: Announcement) -> None:
    """Record what an announcement says or implies of the cold state of its server."""
    if announcement.leaving:
        return
    now = now_ms()
    start, joined = start_of(announcement), is_after_first_news(gateway, now)
    gateway.cold_servers.announced(start, announcement.seq, announcement.cold_ms, now, joined)
    record = gateway.directory.latest(announcement.server)
    if record is not None:
        log_cold_change(gateway, record, now)


def handle_announcement(gateway: Gateway, announcement: Announcement) -> AnnouncementEffect:
    """Process an announcement, and reset the server's state here if it has restarted."""
    known = gateway.directory.latest(announcement.server)
    change = gateway.directory.apply(announcement, now_ms())
    _record_cold(gateway, announcement)
    if known is None or known.announcement.incarnation >= announcement.incarnation:
        return change
    server = announcement.server
    if not known.announcement.leaving and not gateway.crashes.has_crashed(known.start):
        now, service = now_ms(), announcement.service
        servers = len(gateway.directory.routable(service, now))
        gateway.crashes.record_restart(known.start, service, servers, now)
    gateway.server_health.reset(server)
    gateway.work_table.clear_engine(server)
    for restrictions in (gateway.back_offs, gateway.rate_limits):
        restrictions.carry_over(known.start, start_of(announcement), now_ms())
    ended = gateway.attempts.end_restarted(server, announcement.incarnation)
    gateway.counters.count("server.started_again")
    gateway.log.note(
        "server.started_again",
        server=server,
        start=announcement.incarnation,
        former=known.announcement.incarnation,
        attempts_ended=ended,
    )
    return change
