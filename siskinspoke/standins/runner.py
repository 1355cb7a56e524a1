"""Run a stand-in and its announcements until it is terminated."""

import signal
from contextlib import AsyncExitStack

import trio
from quart import Response
from quart_trio import QuartTrio

from siskinspoke.core.counters import Counters
from siskinspoke.standins.announcer import AnnouncementFactory, Announcer
from siskinspoke.standins.engine_server import EngineIdentity
from siskinspoke.transport.datagrams import open_datagram_port
from siskinspoke.transport.http import HttpServer, json_response, serve


async def run_standin(
    app: QuartTrio,
    identity: EngineIdentity,
    entries: list[tuple[str, int]],
    key: bytes,
    make_announcement: AnnouncementFactory,
    background_task=None,
) -> None:
    """Serve ``app`` and announce it; on SIGTERM or SIGINT, announce its departure, then stop."""
    shutdown = trio.Event()
    async with AsyncExitStack() as stack:
        port = await open_datagram_port(identity.host, 0, key, Counters())
        announcer = Announcer(port, entries, make_announcement)

        @app.post("/v1/leave")
        async def leave() -> Response:
            await announcer.leave()
            return json_response({"leaving": True})

        nursery = await stack.enter_async_context(trio.open_nursery())
        if background_task is not None:
            nursery.start_soon(background_task)
        server = HttpServer(app, identity.host, identity.port, 3600)
        await nursery.start(serve, server, shutdown)
        nursery.start_soon(announcer.run)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        await announcer.leave()
        shutdown.set()
        nursery.cancel_scope.cancel()
