"""Run the program with one safety check disabled, to show that its test then fails.

``slow_syncs`` and ``cut_links`` leave all checks enabled: the first simulates a slow disk, the
second cuts the links of a gateway to its servers when told to.

Usage: python -m siskinspoke.testing.mutants NAME COMMAND [FLAGS]
"""

import os
import sys
import time
from collections.abc import Callable
from pathlib import Path

import trio
from expression import Ok

from siskinspoke.coordination.configuration import ActiveConfiguration, ConfigurationHolder
from siskinspoke.coordination.directory import Directory
from siskinspoke.entry import calls, claiming
from siskinspoke.entry.backend import Backend
from siskinspoke.entry.context import EntryContext
from siskinspoke.entry.control_client import ControlClient
from siskinspoke.gateway.context import Gateway
from siskinspoke.gateway.daemon import GatewayDaemon
from siskinspoke.management import execute
from siskinspoke.standins.engine_model import EngineModel
from siskinspoke.testing.server_links import LinkMode, ServerLinks

SYNC_DELAY_SECONDS = 0.7
# The variable names the folder of the files NAME.links, which hold a ``LinkMode``.
LINKS_FOLDER = "SISKINSPOKE_LINKS_FOLDER"
LINKS_POLL_SECONDS = 0.05


def no_claims() -> None:
    """Grant every claim without asking the control replicas."""

    async def grant(context, name, key, target):
        return Ok(claiming.Claimed(1))

    calls.claim = grant


def any_incarnation() -> None:
    """Accept a restarted server's answer about calls that its previous incarnation ran."""
    original = Backend.post

    async def post(self, target, path, body, *rest):
        answer = await original(self, target, path, body, *rest)
        return answer and answer | {"incarnation": target.incarnation}

    Backend.post = post


def unknown_is_not_run() -> None:
    """Treat a call with an unknown outcome as one that was never started."""

    async def confirm_never_began(context, target, request, attempt):
        return True

    calls.confirm_never_began = confirm_never_began


def any_version() -> None:
    """Request any configuration version and install whatever a control replica returns."""
    original = ControlClient.configuration_after

    async def configuration_after(self, version, wait_ms):
        return await original(self, 0, 0)

    def install(self, version, document, source):
        current = self._in_force
        self._in_force = ActiveConfiguration(version, current.configuration, document, source)
        return True

    ConfigurationHolder.install = install
    ControlClient.configuration_after = configuration_after


def no_lease() -> None:
    """Keep routing to servers whose announcement lease has expired."""
    Directory._is_live = lambda self, record, now: not record.announcement.leaving


def leaving_unheard() -> None:
    """Ignore the leaving flag in servers' announcements."""
    original = Directory.apply

    def hear(self, announcement, now):
        return original(self, announcement._replace(leaving=False), now)

    Directory.apply = hear


def no_engine_lease() -> None:
    """Never expire the leases of attempts and reservations at an engine."""
    EngineModel.expire = lambda self, now: None


def frozen_is_busy() -> None:
    """Wait for a silent server for as long as its connection is open."""
    EntryContext.is_alive = lambda self, target: True


def slow_syncs() -> None:
    """Delay the return of every fsync and fdatasync, as on a slow disk."""

    def add_delay(sync: Callable[[int], None]) -> Callable[[int], None]:
        def delayed_sync(descriptor: int) -> None:
            sync(descriptor)
            time.sleep(SYNC_DELAY_SECONDS)

        return delayed_sync

    os.fsync, os.fdatasync = add_delay(os.fsync), add_delay(os.fdatasync)


def cut_links() -> None:
    """Follow a file that tells in which mode the links of this VM to servers are."""
    folder = Path(os.environ[LINKS_FOLDER])
    links = ServerLinks()
    links.install()
    original = GatewayDaemon.server_tasks

    async def follow(gateway: Gateway) -> None:
        path, last = folder / f"{gateway.settings.name}.links", LinkMode.UP
        while True:
            mode = LinkMode(path.read_text() or LinkMode.UP) if path.exists() else LinkMode.UP
            if mode is not last:
                last = mode
                links.set_mode(gateway.settings.host, mode)
            await trio.sleep(LINKS_POLL_SECONDS)

    def server_tasks(self: GatewayDaemon) -> list[tuple]:
        return [*original(self), (follow, self.gateway)]

    GatewayDaemon.server_tasks = server_tasks


MUTANTS: dict[str, Callable[[], None]] = {
    mutate.__name__: mutate
    for mutate in (
        no_claims,
        any_incarnation,
        unknown_is_not_run,
        any_version,
        no_lease,
        leaving_unheard,
        no_engine_lease,
        frozen_is_busy,
        slow_syncs,
        cut_links,
    )
}


if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    sys.exit(execute(["siskinspoke", *sys.argv[2:]]))
