"""Folded lines in the heads of answers, which a parser would join to the field before."""

import itertools
import time

import h11
import pytest
import trio
import trio.testing

from siskinspoke.transport.heads import HeadCheck
from siskinspoke.transport.http1 import PeerError, RequestHead, ServerConnection
from tests.platform.broken_answers import FOLDED, WHOLE

INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n"
BLANK_BODY = WHOLE.replace(b"done", b" \n \r\n \t") + b"\r\n\r\n x\n\n "


def accepts(data: bytes, size: int) -> bool:
    """Return whether a head is accepted whose bytes arrive in pieces of a size."""
    check = HeadCheck()
    try:
        for start in range(0, len(data), size):
            check.feed(data[start : start + size])
    except h11.RemoteProtocolError:
        return False
    return True


class TestHeadCheck:
    """Heads that arrive in pieces of any size."""

    @pytest.mark.parametrize("size", [1, 2, 3, 7, 65_536])
    @pytest.mark.parametrize("form", FOLDED)
    def test_folded_line(self, form, size):
        """Guards against a folded line that two reads split."""
        assert not accepts(FOLDED[form], size)

    @pytest.mark.parametrize("size", [1, 2, 3, 7, 65_536])
    @pytest.mark.parametrize("data", [WHOLE, BLANK_BODY, INTERIM * 3 + BLANK_BODY])
    def test_sound_answer(self, data, size):
        """Guards against rejecting an answer for blanks in its body, or in its values."""
        assert accepts(data, size)

    @pytest.mark.parametrize("size", [1, 64, 65_536])
    @pytest.mark.parametrize("part", [b"X-Name: 1\r\n", b"\r\nHTTP/1.1 100 Continue\r\n"])
    def test_time_grows_with_the_bytes(self, part, size):
        """Guards against searching or copying all that has arrived for each read or answer."""

        def seconds(count: int) -> float:
            data = b"HTTP/1.1 100 OK\r\n" + part * count
            times = []
            for _ in range(3):
                began = time.process_time()
                assert accepts(data, size)
                times.append(time.process_time() - began)
            return min(times)

        assert seconds(4_000) < 4 * 2 * max(seconds(1_000), 0.001)


class TestServerConnection:
    """The answers of one connection."""

    def test_each_answer_is_checked(self):
        """Guards against checking only the first answer of a kept connection."""

        async def run():
            own, servers = trio.testing.memory_stream_pair()
            connection = ServerConnection(own, 0.0)
            connection.has_no_pending_data = lambda: True
            for number in itertools.count(1):
                await connection.send_request(RequestHead("GET", "/", [(b"Host", b"h")]), b"")
                if number == 3:
                    break
                await servers.send_all(WHOLE)
                await connection.read_head()
                while await connection.read_body_part() is not None:
                    pass
                assert connection.prepare_reuse(0.0)
            await servers.send_all(FOLDED["with a length"])
            with pytest.raises(PeerError):
                await connection.read_head()

        trio.run(run)
