"""Seeded fault injection against a running site under load, with invariant checks."""

import random
import shutil
import time
from collections.abc import Callable
from typing import NamedTuple

import trio

from siskinspoke.core.codes import ResultCode
from siskinspoke.loadgen.client import ApiClient, Outcome, idempotency_key, prompt_text
from siskinspoke.testing.proxy import Rule
from siskinspoke.testing.running_site import RunningSite
from siskinspoke.testing.site import SERVER_PORT, customer_key

CUSTOMER = "municipio-1"
TIMEOUT_MS = 8_000
MAX_CALL_ATTEMPTS = 12
RETRY_DELAY_SECONDS = 0.7
REQUEST_INTERVAL_SECONDS = 0.12
ANSWER_TOLERANCE_SECONDS = 1.0


class CallRecord(NamedTuple):
    """A call with an idempotency key, and the outcomes of its first attempt and its retries."""

    key: str
    outcomes: list[Outcome]


class Chaos:
    """Inject faults and generate traffic for one run, and record the outcomes."""

    def __init__(self, site: RunningSite, seed: int):
        self.site = site
        self.completions: list[Outcome] = []
        self.calls: list[CallRecord] = []
        self.faults: list[str] = []
        self._fault_rng = random.Random(seed)
        self._traffic_rng = random.Random(seed + 1)

    def run(self, seconds: float) -> None:
        """Inject faults under load for ``seconds``, then undo all faults and drain the traffic."""
        trio.run(self._run, seconds)

    async def _run(self, seconds: float) -> None:
        async with self.site.caller() as caller, trio.open_nursery() as nursery:
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as faults:
                    faults.start_soon(self._inject_faults)
                    number = 0
                    while True:
                        number += 1
                        nursery.start_soon(self._send_completion, caller, number)
                        if number % 3 == 0:
                            nursery.start_soon(self._send_call, caller, number)
                        await trio.sleep(REQUEST_INTERVAL_SECONDS)
            await trio.to_thread.run_sync(self.heal)

    async def _send_completion(self, caller: ApiClient, number: int) -> None:
        tokens = self._traffic_rng.choice((1_000, 2_000, 6_000, 30_000))
        prompt = prompt_text(CUSTOMER, number % 3, number, tokens, 0.3)
        self.completions.append(
            await caller.complete("redactor", customer_key(CUSTOMER), prompt, 24, TIMEOUT_MS)
        )

    async def _send_call(self, caller: ApiClient, number: int) -> None:
        """Send a call and retry it through other VMs until an answer is final."""
        record = CallRecord(idempotency_key(f"chaos-{number}"), [])
        self.calls.append(record)
        for _ in range(MAX_CALL_ATTEMPTS):
            outcome = Outcome(-1, 0, "unknown", "", 0, None, 0.0, False)
            with trio.move_on_after(TIMEOUT_MS / 1000):
                outcome = await caller.call(
                    "despacho", customer_key(CUSTOMER), "x", record.key, TIMEOUT_MS
                )
            record.outcomes.append(outcome)
            if outcome.is_complete or outcome.code == ResultCode.ALREADY_RAN:
                return
            await trio.sleep(RETRY_DELAY_SECONDS)

    async def _inject_faults(self) -> None:
        while True:
            fault = self._fault_rng.choice(self._fault_types())
            name = fault.__name__.strip("_")
            self.faults.append(name)
            await trio.to_thread.run_sync(fault)

    def _fault_types(self) -> list[Callable[[], None]]:
        return [
            self._kill_entry,
            self._kill_engine,
            self._kill_control,
            self._wipe_control,
            self._suspend_process,
            self._cut_domain,
            self._cut_one_way,
            self._reset_connections,
            self._partition_entries,
        ]

    def _pause(self) -> None:
        time.sleep(self._fault_rng.uniform(0.3, 1.5))

    def _kill_entry(self) -> None:
        name = self._fault_rng.choice(self.site.fleet.settings.entries).name
        self.site.fleet.kill(name)
        self._pause()
        self.site.fleet.start_entry(name)
        self.site.fleet.wait_entries([name])

    def _kill_engine(self) -> None:
        name = self._fault_rng.choice(
            [item for item in self.site.specs if item.startswith("engine")]
        )
        self.site.fleet.kill(name)
        self._pause()
        self.site.restart_server(name)

    def _kill_control(self) -> None:
        self._restart_control(wipe_disk=False)

    def _wipe_control(self) -> None:
        self._restart_control(wipe_disk=True)

    def _restart_control(self, wipe_disk: bool) -> None:
        """Kill a replica, optionally wipe its disk, restart it and wait until it is admitted."""
        control = self._fault_rng.choice(self.site.fleet.settings.controls)
        self.site.fleet.kill(control.name)
        if wipe_disk:
            shutil.rmtree(control.data_folder)
        self._pause()
        self.site.fleet.start_control(control.name)
        self.site.fleet.wait_listening(control.host, control.port)
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            if self.site.fleet.control_status(control.name)["admitted"]:
                return
            time.sleep(0.1)
        raise AssertionError(f"{control.name} was not readmitted within 10 s of its restart")

    def _suspend_process(self) -> None:
        fleet = self.site.fleet
        names = [item.name for item in (*fleet.settings.entries, *fleet.settings.controls)]
        name = self._fault_rng.choice([*names, *self.site.specs])
        fleet.suspend(name)
        time.sleep(self._fault_rng.uniform(0.5, 4.0))
        fleet.resume(name)

    def _cut_domain(self) -> None:
        domain = self._fault_rng.randrange(3)
        self.site.proxy.isolate(domain, 3)
        time.sleep(self._fault_rng.uniform(0.5, 4.0))
        self.site.proxy.isolate(domain, 3, cut=False)

    def _cut_one_way(self) -> None:
        source, target = self._fault_rng.sample(range(3), 2)
        self.site.proxy.cut_one_way(source, target)
        time.sleep(self._fault_rng.uniform(0.5, 4.0))
        self.site.proxy.cut_one_way(source, target, cut=False)

    def _reset_connections(self) -> None:
        self.site.proxy.reset_all()
        self._pause()

    def _partition_entries(self) -> None:
        """Partition the entry VMs of a failure domain from all servers, which others reach."""
        domain = self._fault_rng.randrange(3)
        rule = self._fault_rng.choice((Rule(cut=True), Rule(refuse=True)))
        self.site.proxy.set_client_rule(domain, SERVER_PORT, rule)
        time.sleep(self._fault_rng.uniform(0.5, 4.0))
        self.site.proxy.set_client_rule(domain, SERVER_PORT, Rule())

    def heal(self) -> None:
        """Remove all network cuts and restart every process that is not running."""
        for domain in range(3):
            self.site.proxy.set_client_rule(domain, SERVER_PORT, Rule())
        for source in range(3):
            for target in range(3):
                if source != target:
                    self.site.proxy.cut_one_way(source, target, cut=False)
        fleet = self.site.fleet
        for item in (*fleet.settings.entries, *fleet.settings.controls):
            if not fleet.running(item.name):
                start = fleet.start_entry if hasattr(item, "internal_port") else fleet.start_control
                start(item.name)
        for name in self.site.specs:
            if not fleet.running(name):
                self.site.restart_server(name)

    def violations(self, services: tuple[str, ...]) -> list[str]:
        """Return a description of each violated invariant."""
        execution_counts = self.site.runs_by_subject(*services)
        found = [
            f"answer {item.request_id} has status OK but is incomplete or another caller's"
            for item in self.completions
            if item.code == ResultCode.OK and not item.is_complete
        ]
        limit = TIMEOUT_MS / 1000 + ANSWER_TOLERANCE_SECONDS
        found += [
            f"answer arrived after {item.total:.2f} s, past its deadline: {item}"
            for item in self.completions
            if item.total > limit and item.status
        ]
        for record in self.calls:
            count = execution_counts[f"{CUSTOMER}/{record.key}"]
            if count > 1:
                found.append(f"{record.key} was executed {count} times: {record.outcomes}")
            if any(item.is_complete for item in record.outcomes) and count != 1:
                found.append(f"{record.key} was answered but executed {count} times")
            last = record.outcomes[-1] if record.outcomes else None
            if last is not None and last.run == "not_run" and last.status and count:
                found.append(f"{record.key} was reported as not_run but ran: {record.outcomes}")
        return found
