"""A backend server that sends invalid answers affects only its own attempts."""

import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import trio

from siskinspoke.bench.slopes import announcement
from siskinspoke.loadgen.client import prompt_text
from siskinspoke.protocol import encode_message, seal
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.site import customer_key

INVALID_BODIES = [b"{", b"[1,2]\n", b'["r",1,1,0,1,"x",false]\n', b"\xff\xfe\n", b'{"events": 7}']
SERVER_HOST = "127.0.0.1"


class InvalidAnswerHandler(BaseHTTPRequestHandler):
    """Sends invalid bodies in answer to all requests."""

    request_count = 0

    def do_POST(self):
        """Send the next invalid body."""
        InvalidAnswerHandler.request_count += 1
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        body = INVALID_BODIES[InvalidAnswerHandler.request_count % len(INVALID_BODIES)]
        self.send_response(200)
        self.send_header("X-Accepted", "many" if InvalidAnswerHandler.request_count % 2 else "1")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):
        """Send the next invalid body."""
        self.do_POST()

    def log_message(self, *arguments):
        """Suppress the request log."""


class TestInvalidAnswers:
    """Another program answers at the address that is announced for an engine."""

    def test_vm_survives_and_serves(self, make_site):
        """Requests that get an invalid answer are retried on other servers and succeed."""
        site = make_site()
        server = ThreadingHTTPServer((SERVER_HOST, 0), InvalidAnswerHandler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        message = announcement(1, 1, "sala-a")._replace(
            host=SERVER_HOST, port=server.server_port, queued=[], free_tokens=4_000_000,
            total_tokens=4_000_000, prefill_rate=1e6,
        )  # fmt: skip
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        entry = site.fleet.settings.entry("entry-sala-a-1")

        def send_announcement(seq):
            data = seal(site.fleet.settings.internal_key, encode_message(message._replace(seq=seq)))
            sender.sendto(data, (entry.host, entry.internal_port))
            for junk in (b"", b"x", data[:-3], data[:16] + b"[]"):
                sender.sendto(junk, (entry.host, entry.internal_port))

        send_announcement(1)
        wait_until(lambda: len(site.fleet.status("entry-sala-a-1")["servers"]) == 5, "announced")

        async def scenario():
            outcomes = []
            async with site.caller("entry-sala-a-1") as caller:
                for number in range(6):
                    send_announcement(2 + number)
                    prompt = prompt_text("municipio-1", 0, number, 1_500, 0.0)
                    key = customer_key("municipio-1")
                    outcomes.append(await caller.complete("redactor", key, prompt, 8, 20_000))
            return outcomes

        outcomes = trio.run(scenario)
        server.shutdown()
        sender.close()
        assert InvalidAnswerHandler.request_count > 0
        assert all(item.is_complete for item in outcomes)
        counters = site.fleet.status("entry-sala-a-1")["counters"]
        assert counters["datagram.refused.seal"] >= 4
        assert counters["backend.nonsense"] >= 1
