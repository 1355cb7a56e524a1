"""Tests of listening before the program is imported."""

import json
import socket

import pytest
import trio

from siskinspoke.gateway.clients import ClientServer
from siskinspoke.platform import SETTINGS_VARIABLE
from siskinspoke.transport.accepting import accept_waiting
from siskinspoke.transport.early import listen, listen_early, take_early_listener
from tests.platform.site import gateway_site, read_answer, request_bytes, servers
from tests.platform.standin_server import Whole

HOST = "127.0.0.1"


def free_port() -> int:
    """Return a port that is free."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def settings_file(tmp_path, **fields) -> str:
    """Write a settings file and return its path."""
    path = tmp_path / "vm.json"
    path.write_text(json.dumps(fields))
    return str(path)


class TestEarlyListener:
    """Connections made during the imports of an entry VM wait and are served."""

    def test_early_connection_is_served(self, tmp_path):
        """Guards against refused connections while restarted entry VMs are not listening yet.

        A caller that connects 0.1 s after the restart retries only once, within the same half
        second.
        """

        async def run():
            port = free_port()
            listen_early([f"--vm_file={settings_file(tmp_path, public=f'{HOST}:{port}')}"])
            stream = await trio.open_tcp_stream(HOST, port)
            await stream.send_all(request_bytes("/again/x"))
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", [Whole(b"done")]),
                trio.open_nursery() as nursery,
            ):
                await nursery.start(ClientServer(site.gateway).serve, HOST, port)
                answer = await read_answer(stream)
                nursery.cancel_scope.cancel()
            assert answer.status == 200
            assert answer.body == b"done"

        trio.run(run)

    def test_settings_file_from_environment(self, tmp_path, monkeypatch):
        port = free_port()
        path = settings_file(tmp_path, public=f"{HOST}:{port}")
        monkeypatch.setenv(SETTINGS_VARIABLE, path)
        listen_early([])
        with take_early_listener(HOST, port) as listener:
            assert listener.getsockname() == (HOST, port)
        assert take_early_listener(HOST, port) is None

    def test_invalid_settings_are_ignored(self, tmp_path):
        for fields in ({}, {"public": ""}, {"public": 7}, {"public": "nobody"}):
            listen_early([f"--vm_file={settings_file(tmp_path, **fields)}"])
        listen_early([f"--vm_file={tmp_path / 'missing'}"])
        assert take_early_listener(HOST, 1) is None

    def test_address_in_use(self, tmp_path):
        with socket.socket() as other:
            other.bind((HOST, 0))
            other.listen()
            port = other.getsockname()[1]
            listen_early([f"--vm_file={settings_file(tmp_path, public=f'{HOST}:{port}')}"])
            assert take_early_listener(HOST, port) is None


class TestAcceptWaiting:
    """Guards against a loop without end at a listening socket that fails."""

    def test_waiting_connections_are_accepted_at_once(self):
        with listen(HOST, 0) as listener:
            listener.setblocking(False)
            clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
            first, is_exhausted = accept_waiting(listener, 2)
            rest, _ = accept_waiting(listener, 2)
            assert (len(first), len(rest), is_exhausted) == (2, 1, False)
            for connection in (*clients, *first, *rest):
                connection.close()

    def test_closed_listener_raises(self):
        listener = listen(HOST, 0)
        listener.close()
        with pytest.raises(OSError, match="Bad file descriptor"):
            accept_waiting(listener, 2)
