"""A prompt that crashes each engine that starts to answer it, on a site of real processes."""

import time

import httpx

from siskinspoke.core.codes import ResultCode
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.site import customer_key

FATAL_TEXT = "what no engine survives"
FATAL_BODY = {"model": "redactor", "prompt": f"{FATAL_TEXT} " * 50, "max_tokens": 40}
HARMLESS_BODY = {"model": "redactor", "prompt": "what any engine answers " * 50, "max_tokens": 40}
CRASHES_TO_QUARANTINE = 3
SETTLE_SECONDS = 3.0
MAX_CRASHES_OF_A_PART = 6


class RestartingSite:
    """A site whose engines crash on the fatal prompt and are restarted after each crash."""

    def __init__(self, site):
        self._site = site
        self.crash_count = 0

    def send(self, name: str, body: dict) -> dict:
        """Send a prompt through one entry VM and return its error, or an empty dict."""
        host, port = self._site.entry_address(name)
        headers = {"Authorization": f"Bearer {customer_key('municipio-1')}"}
        url = f"http://{host}:{port}/v1/completions"
        response = httpx.post(url, json=body, headers=headers, timeout=20, trust_env=False)
        self._restart_crashed_engines()
        return response.json().get("error", {})

    def _restart_crashed_engines(self) -> None:
        for name in self._site.specs:
            if name.startswith("engine") and not self._site.fleet.running(name):
                self.crash_count += 1
                self._site.restart_server(name)

    def result_codes(self, name: str, body: dict, times: int) -> list[int]:
        """Send a prompt the given number of times and return the result codes."""
        return [self.send(name, body).get("code", 0) for _ in range(times)]

    def knows_all_servers(self, name: str) -> bool:
        """Return whether an entry VM knows every server of the site."""
        return len(self._site.fleet.status(name)["servers"]) >= len(self._site.specs)


class TestFatalPrompt:
    """A fatal prompt is sent repeatedly through different VMs."""

    def test_quarantine_reaches_all_vms(self, make_site):
        """All VMs quarantine a fatal prompt, including one started after the crashes.

        Guards against each VM trying four engines per request without using the crashes that
        earlier requests or other VMs have seen.
        """
        running = make_site(engines_per_domain=2, engine_flags=(f"--deadly_text={FATAL_TEXT}",))
        site = RestartingSite(running)
        first, second, restarted = (entry.name for entry in running.fleet.settings.entries)
        running.fleet.kill(restarted)
        for name in (first, second, first, second):
            site.send(name, FATAL_BODY)
        assert site.crash_count >= CRASHES_TO_QUARANTINE
        running.fleet.start_entry(restarted)
        running.fleet.wait_entries([restarted])
        time.sleep(SETTLE_SECONDS)
        wait_until(
            lambda: all(site.knows_all_servers(name) for name in (first, second, restarted)),
            "all engines",
        )
        crashes_before = site.crash_count
        codes = [
            code
            for name in (restarted, first, second)
            for code in site.result_codes(name, FATAL_BODY, 3)
        ]
        assert site.crash_count - crashes_before <= 3
        assert codes[-2:] == [ResultCode.QUARANTINED] * 2
        assert site.send(restarted, HARMLESS_BODY) == {}

    def test_prompts_with_a_fatal_beginning(self, make_site):
        """Guards against prompts that share a beginning, and crash engines one after the other."""
        running = make_site(engines_per_domain=2, engine_flags=(f"--deadly_text={FATAL_TEXT}",))
        site = RestartingSite(running)
        entries = [entry.name for entry in running.fleet.settings.entries]
        codes = []
        for number in range(9):
            body = FATAL_BODY | {"prompt": f"{FATAL_BODY['prompt']} question {number}"}
            codes.append(site.send(entries[number % len(entries)], body).get("code", 0))
            assert site.send(entries[number % len(entries)], HARMLESS_BODY) == {}
        assert site.crash_count <= MAX_CRASHES_OF_A_PART
        assert codes[-3:] == [ResultCode.QUARANTINED] * 3
