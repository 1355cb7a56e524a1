"""Proofs that a backend server that speaks nonsense harms nothing but its own attempts."""

import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import trio

from siskinspoke.bench.slopes import announcement
from siskinspoke.loadgen.client import prompt_text
from siskinspoke.protocol import encode_message, seal
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.site import customer_key

NONSENSE = [b"{", b"[1,2]\n", b'["r",1,1,0,1,"x",false]\n', b"\xff\xfe\n", b'{"events": 7}']
HOSTILE_HOST = "127.0.0.1"


class Hostile(BaseHTTPRequestHandler):
    """Answer everything with nonsense."""

    turn = 0

    def do_POST(self):
        """Answer a POST."""
        Hostile.turn += 1
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        body = NONSENSE[Hostile.turn % len(NONSENSE)]
        self.send_response(200)
        self.send_header("X-Accepted", "many" if Hostile.turn % 2 else "1")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):
        """Answer a GET."""
        self.do_POST()

    def log_message(self, *arguments):
        """Print nothing."""


class TestNonsense:
    """An engine is replaced by something else under its address, and announced all the same."""

    def test_vm_survives_and_serves(self, make_site):
        """Requests go to a server that answers nonsense; they are answered elsewhere."""
        site = make_site()
        server = ThreadingHTTPServer((HOSTILE_HOST, 0), Hostile)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        said = announcement(1, 1, "sala-a")._replace(
            host=HOSTILE_HOST, port=server.server_port, queued=[], free_tokens=4_000_000,
            total_tokens=4_000_000, prefill_rate=1e6,
        )  # fmt: skip
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        entry = site.fleet.settings.entry("entry-sala-a-1")

        def announce(seq):
            data = seal(site.fleet.settings.internal_key, encode_message(said._replace(seq=seq)))
            sender.sendto(data, (entry.host, entry.internal_port))
            for junk in (b"", b"x", data[:-3], data[:16] + b"[]"):
                sender.sendto(junk, (entry.host, entry.internal_port))

        announce(1)
        wait_until(lambda: len(site.fleet.status("entry-sala-a-1")["servers"]) == 5, "announced")

        async def scenario():
            outcomes = []
            async with site.caller("entry-sala-a-1") as caller:
                for number in range(6):
                    announce(2 + number)
                    prompt = prompt_text("municipio-1", 0, number, 1_500, 0.0)
                    key = customer_key("municipio-1")
                    outcomes.append(await caller.complete("redactor", key, prompt, 8, 20_000))
            return outcomes

        outcomes = trio.run(scenario)
        server.shutdown()
        sender.close()
        assert Hostile.turn > 0
        assert all(item.whole for item in outcomes)
        counters = site.fleet.status("entry-sala-a-1")["counters"]
        assert counters["datagram.refused.seal"] >= 4
        assert counters["backend.nonsense"] >= 1
