"""A prompt that ends each engine that begins to answer it, at a site of real processes."""

import time

import httpx

from siskinspoke.core.codes import ResultCode
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.site import customer_key

DEADLY = "what no engine survives"
PROMPT = {"model": "redactor", "prompt": f"{DEADLY} " * 50, "max_tokens": 40}
SOUND = {"model": "redactor", "prompt": "what any engine answers " * 50, "max_tokens": 40}
KNOWN_AFTER = 3
SETTLE_SECONDS = 3.0


class Site:
    """A site whose engines end under the deadly prompt and are started again when they have."""

    def __init__(self, site):
        self._site = site
        self.ends = 0

    def ask(self, name: str, body: dict) -> dict:
        """Send a prompt through one entry VM; return its error, or an empty answer."""
        host, port = self._site.entry_address(name)
        headers = {"Authorization": f"Bearer {customer_key('municipio-1')}"}
        url = f"http://{host}:{port}/v1/completions"
        response = httpx.post(url, json=body, headers=headers, timeout=20, trust_env=False)
        self._start_again()
        return response.json().get("error", {})

    def _start_again(self) -> None:
        for name in self._site.specs:
            if name.startswith("engine") and not self._site.fleet.running(name):
                self.ends += 1
                self._site.restart_server(name)

    def codes(self, name: str, body: dict, times: int) -> list[int]:
        """Send a prompt so many times; return the result codes."""
        return [self.ask(name, body).get("code", 0) for _ in range(times)]

    def knows(self, name: str) -> bool:
        """Tell whether an entry VM knows enough servers to place a prompt."""
        return len(self._site.fleet.status(name)["servers"]) >= len(self._site.specs)


class TestDeadlyPrompt:
    """The prompt comes again and again, at one VM after the other."""

    def test_all_vms_know(self, make_site):
        """Each VM tried four engines for each request, and began anew with the next one.

        One of the VMs is killed, and started after the others have learned of the prompt.
        """
        running = make_site(engines_per_domain=2, engine_flags=(f"--deadly_text={DEADLY}",))
        site = Site(running)
        first, second, late = (entry.name for entry in running.fleet.settings.entries)
        running.fleet.kill(late)
        for name in (first, second, first, second):
            site.ask(name, PROMPT)
        assert site.ends >= KNOWN_AFTER
        running.fleet.start_entry(late)
        running.fleet.wait_entries([late])
        time.sleep(SETTLE_SECONDS)
        wait_until(lambda: all(site.knows(name) for name in (first, second, late)), "all engines")
        before = site.ends
        codes = [code for name in (late, first, second) for code in site.codes(name, PROMPT, 3)]
        assert site.ends - before <= 3
        assert codes[-2:] == [ResultCode.QUARANTINED] * 2
        assert site.ask(late, SOUND) == {}
