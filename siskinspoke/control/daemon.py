"""Run a control replica with the members listed in its settings."""

import random
import signal
from contextlib import AsyncExitStack

import trio
from loguru import logger

from siskinspoke.conf import Settings
from siskinspoke.conf.vm import process_descriptors
from siskinspoke.control.app import ControlState, control_app, control_rules
from siskinspoke.control.order_task import OrderTask
from siskinspoke.control.replica_report import ReplicaReport
from siskinspoke.control.replica_task import ReplicaTask, now_ms
from siskinspoke.coordination.memory_plan import CONTROL_SHARES, memory_plan
from siskinspoke.coordination.replica import Replica
from siskinspoke.coordination.replica_types import Times
from siskinspoke.core.codes import FailureError
from siskinspoke.core.counters import create_counters
from siskinspoke.core.signals import log_further_signals, receive_signals
from siskinspoke.state.replica_store import open_store
from siskinspoke.transport.client_resources import client_resources
from siskinspoke.transport.http import HttpServer
from siskinspoke.transport.http_server import LimitedServer, serve_limited
from siskinspoke.transport.links import LinkListener, LinkSender

SHUTDOWN_TIMEOUT_SECONDS = 2.0


def _log_event(event: str, **fields: object) -> None:
    logger.info("{}: {}", event, fields)


async def run_control(settings: Settings, name: str) -> None:
    """Run the control replica called ``name`` until SIGTERM or SIGINT."""
    vm = settings.control_vm(name)
    counters = create_counters(name, settings.statsd_host, settings.statsd_port)
    opened = open_store(vm.data_folder, name)
    if opened.is_error():
        raise FailureError(opened.error)
    store, restored = opened.ok
    shutdown = trio.Event()
    async with AsyncExitStack() as stack:
        stack.callback(store.close)
        links = {
            peer.name: LinkSender(
                peer.host, peer.link_port, settings.internal_key, counters, vm.host
            )
            for peer in settings.controls
            if peer.name != name
        }
        times = Times(settings.control.heartbeat_ms, settings.control.election_ms)
        replica = Replica(
            name,
            [item.name for item in settings.controls],
            times,
            restored,
            random.Random(),
            now_ms(),
        )
        entries = settings.control.snapshot_entries
        report = ReplicaReport(
            counters, None, _log_event, lambda: {peer: link.state for peer, link in links.items()}
        )
        task = ReplicaTask(replica, store, links, counters, entries, logger.info, report)
        nursery = await stack.enter_async_context(trio.open_nursery())
        plan = memory_plan(CONTROL_SHARES, vm.memory_mb, process_descriptors())
        clients = client_resources(plan, counters, _log_event)
        listener = LinkListener(settings.internal_key, counters, task.receive, clients)
        await nursery.start(listener.serve, vm.host, vm.link_port)
        for link in links.values():
            nursery.start_soon(link.run)
        nursery.start_soon(task.run)
        orders = OrderTask(task, counters, settings.control.concurrent_loads, vm.host)
        nursery.start_soon(orders.run)
        state = ControlState(vm, settings, task, counters)
        server = HttpServer(control_app(state), vm.host, vm.port, SHUTDOWN_TIMEOUT_SECONDS)
        limited = LimitedServer(server, lambda: control_rules(state), clients)
        await nursery.start(serve_limited, limited, shutdown)
        logger.info("control replica {} listening on {}:{}", name, vm.host, vm.port)
        with receive_signals(signal.SIGTERM, signal.SIGINT) as signals:
            await anext(signals)
            await nursery.start(log_further_signals, signals, _log_event)
            await task.transfer_leadership()
            shutdown.set()
            nursery.cancel_scope.cancel()
