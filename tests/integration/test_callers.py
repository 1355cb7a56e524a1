"""Invalid client input and operator commands, tested against a running site."""

import socket
import subprocess
import sys
import time

import httpx
import pytest

from siskinspoke.core.codes import ResultCode
from siskinspoke.management.operators import OperatorClient
from siskinspoke.testing.site import customer_key

KEY = customer_key("municipio-1")
VALID_BODY = {"model": "redactor", "prompt": "x" * 4_000, "max_tokens": 4}
EXPIRED_KEY = "1000000000000-old"

BAD_BODIES = [
    (b"not json", ResultCode.NOT_JSON),
    (b"[1,2]", ResultCode.NOT_JSON),
    (b"[" * 100_000, ResultCode.NOT_JSON),
    (b"\xff\xfe", ResultCode.NOT_JSON),
    (b'{"model": 7, "prompt": "x"}', ResultCode.INVALID_FIELD),
    (b'{"model": "redactor", "prompt": ""}', ResultCode.INVALID_FIELD),
    (b'{"model": "redactor", "prompt": "x", "max_tokens": 1e99}', ResultCode.INVALID_FIELD),
    (b'{"model": "redactor", "prompt": "x", "max_tokens": -1}', ResultCode.INVALID_FIELD),
    (b'{"model": "redactor", "prompt": "x", "colour": 1}', ResultCode.INVALID_FIELD),
    (b'{"model": "redactor", "prompt": "x", "stream": "yes"}', ResultCode.INVALID_FIELD),
    (b'{"model": "nobody", "prompt": "x"}', ResultCode.UNKNOWN_MODEL),
    (b'{"model": "redactor", "prompt": "x", "timeout_ms": 0}', ResultCode.INVALID_DEADLINE),
    (b'{"model": "redactor", "prompt": "x", "idempotent": false}', ResultCode.KEY_REQUIRED),
]


class EntryClient:
    """Sends single requests to one entry VM."""

    def __init__(self, site):
        host, port = site.entry_address("entry-sala-a-1")
        self.address = (host, port)
        self.url = f"http://{host}:{port}"

    def post(self, path, content=None, key=KEY, **options):
        """Send one request and return its status, error code and ``run`` value."""
        headers = {"Authorization": f"Bearer {key}"} | options.pop("headers", {})
        response = httpx.post(
            self.url + path, content=content, headers=headers, timeout=20, trust_env=False,
            **options,
        )  # fmt: skip
        error = response.json().get("error", {})
        return response.status_code, error.get("code", 0), error.get("run")


class TestBadInput:
    """Invalid input is rejected at once with an error code and reaches no backend server."""

    def test_each_fault_has_its_own_code(self, make_site):
        site = make_site()
        client = EntryClient(site)
        for body, code in BAD_BODIES:
            assert client.post("/v1/completions", body)[1:] == (code, "not_run"), body
        path = "/v1/completions"
        assert client.post(path, json=VALID_BODY, key="wrong")[1] == ResultCode.UNAUTHENTICATED
        invalid_key_headers = {"Idempotency-Key": "abc"}
        assert (
            client.post(path, json=VALID_BODY, headers=invalid_key_headers)[1]
            == ResultCode.INVALID_KEY
        )
        expired_key_headers = {"Idempotency-Key": EXPIRED_KEY}
        assert client.post("/v1/services/despacho", json={}, headers=expired_key_headers)[1:] == (
            ResultCode.KEY_EXPIRED,
            "unknown",
        )
        assert client.post("/v1/services/nobody", json={})[1] == ResultCode.UNKNOWN_MODEL
        assert client.post("/v1/nothing", json={})[1] == ResultCode.UNKNOWN_PATH
        oversized_body = b'{"prompt": "' + b"x" * 17_000_000 + b'"}'
        assert client.post(path, oversized_body)[:2] == (413, ResultCode.BODY_TOO_LARGE)
        self.send_malformed_data(client)
        assert client.post(path, json=VALID_BODY)[0] == 200
        executions = [
            sum(site.server_state(n)["began"].values()) for n in site.specs if "engine" in n
        ]
        assert sum(executions) == 1

    def send_malformed_data(self, client):
        """Send malformed and incomplete data; other connections must be unaffected."""
        head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        malformed = [
            head + b"X: " + b"y" * 200_000 + b"\r\n\r\n",
            head + b"Content-Length: 1000\r\nAuthorization: Bearer " + KEY.encode() + b"\r\n\r\n{",
            head + b"Content-Length: nonsense\r\n\r\n",
            b"\x16\x03\x01\x02\x00",
            head[:20],
        ]
        for data in malformed:
            connection = socket.create_connection(client.address, timeout=5)
            try:
                connection.sendall(data)
                connection.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            connection.close()


class TestLimitChange:
    """Running VMs apply a limit that operators change."""

    def test_lowered_body_limit(self, make_site):
        site = make_site(services=0)
        client = EntryClient(site)
        assert client.post("/v1/completions", json=VALID_BODY)[0] == 200
        document = dict(site.fleet.settings.configuration_document)
        document["limits"] = document["limits"] | {"max_body_bytes": 2_000}
        body = {"order": "o", "operator": "t", "expect": 0, "document": document}
        with OperatorClient(site.fleet.settings) as operator:
            assert operator.post_to_leader("/v1/configuration", body, 6).document["code"] == 0
            assert not operator.wait_until_applied(1, 3)
        assert client.post("/v1/completions", json=VALID_BODY)[1] == ResultCode.BODY_TOO_LARGE


class TestCommands:
    """Operator commands against a running site."""

    def run(self, site, command, *flags):
        """Run one command and return its exit code and output."""
        fleet = site.fleet
        completed = subprocess.run(
            [sys.executable, "-m", "siskinspoke", command, f"--base={fleet.base}",
             f"--overlay={fleet.overlay}", *flags],
            capture_output=True, text=True, timeout=30, check=False,
        )  # fmt: skip
        return completed.returncode, completed.stdout + completed.stderr

    def test_check_apply_status_drain(self, make_site):
        site = make_site()
        assert self.run(site, "check")[0] == 0
        code, text = self.run(site, "apply", "--order=first")
        assert (code, "version 1 accepted" in text) == (0, True)
        assert self.run(site, "apply", "--order=first", "--expect=0")[0] == 0
        code, text = self.run(site, "apply", "--expect=0")
        assert (code, "4001 VERSION_CONFLICT" in text) == (40, True)
        code, text = self.run(site, "status")
        assert (code, text.count("version 1")) == (0, 6)
        assert self.run(site, "drain", "--name=entry-anexo-1")[0] == 0
        deadline = time.monotonic() + 15
        while site.fleet.running("entry-anexo-1") and time.monotonic() < deadline:
            time.sleep(0.1)
        assert not site.fleet.running("entry-anexo-1")
        code, text = self.run(site, "status")
        assert (code, "no answer" in text) == (60, True)
        code, text = self.run(site, "apply", "--wait=1")
        assert (code, "not confirmed by: entry-anexo-1" in text) == (41, True)

    @pytest.mark.parametrize(
        ("flags", "code"), [(["nonsense"], 2), (["check", "--nonsense"], 2), (["help"], 0)]
    )
    def test_usage(self, flags, code):
        completed = subprocess.run(
            [sys.executable, "-m", "siskinspoke", *flags], capture_output=True, check=False
        )
        assert completed.returncode == code
