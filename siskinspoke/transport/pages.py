"""Readiness and metrics pages.

They use the minimal HTTP server: for two ports that answer one GET each, the full HTTP server
library would take more of a small VM's startup time and memory than everything else.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

import trio

from siskinspoke.core.counters import Counters
from siskinspoke.core.latencies import Latencies
from siskinspoke.transport.calls import BodyLimits, Call, Reply, serve_calls
from siskinspoke.transport.client_resources import ClientResources

BODY_LIMITS = BodyLimits(max_bytes=1_024, timeout_seconds=30.0)
CONTENT_TYPE = "text/plain; version=0.0.4"


class Page(NamedTuple):
    """The status and body of an answer."""

    status: int
    body: bytes = b""


Pages = Mapping[str, Callable[[], Page]]


def metrics_pages(counters: Counters, latencies: Latencies) -> Pages:
    """Return the pages of a metrics port."""

    def metrics() -> Page:
        # The metrics library is imported only in VMs that are asked for metrics.
        from siskinspoke.core.exposition import exposition

        return Page(200, exposition(counters, latencies))

    return {"/metrics": metrics}


async def serve_pages(
    pages: Pages,
    resources: ClientResources,
    host: str,
    port: int,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve pages by path until cancelled."""

    async def handle(call: Call) -> Reply:
        render = pages.get(call.path)
        page = Page(404) if render is None else render()
        return Reply(page.status, page.body, CONTENT_TYPE)

    await serve_calls(handle, BODY_LIMITS, resources, host, port, task_status=task_status)
