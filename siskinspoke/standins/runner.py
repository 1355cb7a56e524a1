"""Run one stand-in with its announcements until it is told to leave."""

import signal
from contextlib import AsyncExitStack

import trio
from quart import Response
from quart_trio import QuartTrio

from siskinspoke.core.counters import Counters
from siskinspoke.standins.announcer import Announcer, Report
from siskinspoke.standins.engine_server import EngineIdentity
from siskinspoke.transport.datagrams import open_datagram_port
from siskinspoke.transport.http import HttpServer, json_response, serve


async def run_standin(
    app: QuartTrio,
    identity: EngineIdentity,
    entries: list[tuple[str, int]],
    key: bytes,
    report: Report,
    work=None,
) -> None:
    """Serve ``app``, announce it, and on SIGTERM leave before stopping."""
    shutdown = trio.Event()
    async with AsyncExitStack() as stack:
        port = await open_datagram_port(identity.host, 0, key, Counters())
        announcer = Announcer(port, entries, report)

        @app.post("/v1/leave")
        async def leave() -> Response:
            await announcer.leave()
            return json_response({"leaving": True})

        nursery = await stack.enter_async_context(trio.open_nursery())
        if work is not None:
            nursery.start_soon(work)
        server = HttpServer(app, identity.host, identity.port, 3600)
        await nursery.start(serve, server, shutdown)
        nursery.start_soon(announcer.run)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        await announcer.leave()
        shutdown.set()
        nursery.cancel_scope.cancel()
