"""What a backend server's new start under its old name means to this VM.

The new process holds and knows nothing of before.  Requests that are open at the former one
will not be answered, its failures and its pace say nothing of the new one, and what the books
hold there is gone.
"""

from siskinspoke.coordination.directory import Heard, start_of
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.protocol.announcements import Announcement


def hear(gateway: Gateway, announcement: Announcement) -> Heard:
    """Take in an announcement, and what it means if the server has started anew."""
    known = gateway.directory.latest(announcement.server)
    heard = gateway.directory.hear(announcement, now_ms())
    if known is None or known.announcement.incarnation >= announcement.incarnation:
        return heard
    server = announcement.server
    if not known.announcement.leaving and not gateway.crashes.has_crashed(known.start):
        now, service = now_ms(), announcement.service
        servers = len(gateway.directory.believed(service, now))
        gateway.crashes.started_anew(known.start, service, servers, now)
    gateway.standing.started(server)
    gateway.books.started(server)
    for words in (gateway.back_offs, gateway.rate_limits):
        words.started(known.start, start_of(announcement), now_ms())
    ended = gateway.attempts.started(server, announcement.incarnation)
    gateway.counters.count("server.started_again")
    gateway.log.note(
        "server.started_again",
        server=server,
        start=announcement.incarnation,
        former=known.announcement.incarnation,
        attempts_ended=ended,
    )
    return heard
