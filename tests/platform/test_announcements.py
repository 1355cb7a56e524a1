"""Tests for decoding heartbeats, deregistrations and engine reports."""

import random

import msgspec
import pytest

from siskinspoke.coordination.directory import UNKNOWN_INCARNATION
from siskinspoke.platform.control_app import announcement_from, deregistration_from
from siskinspoke.platform.orders import decode_report

HEARTBEAT = {
    "service": "engines",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "seq": 4,
    "born": 1_790_000_000_123,
}
FUZZ_SEED = 20
FUZZ_ROUNDS = 3_000


def heartbeat(**changes) -> bytes:
    """Return the body of a heartbeat with some fields changed; None leaves a field out."""
    fields = {name: value for name, value in {**HEARTBEAT, **changes}.items() if value is not None}
    return msgspec.json.encode(fields)


class TestHeartbeats:
    """A heartbeat is accepted completely or not at all."""

    def test_start_time_and_sequence_number(self):
        announcement = announcement_from("i-1", heartbeat()).ok
        assert (announcement.incarnation, announcement.seq) == (HEARTBEAT["born"], 4)
        assert (announcement.host, announcement.port, announcement.leaving) == (
            "10.0.0.9",
            8080,
            False,
        )

    def test_start_left_out(self):
        assert announcement_from("i-1", heartbeat(born=None)).ok.incarnation == UNKNOWN_INCARNATION

    def test_leaving(self):
        assert announcement_from("i-1", heartbeat(state="draining")).ok.leaving

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"\xff\xfe\x00",
            b"[]",
            b'{"service":',
            heartbeat(service=None),
            heartbeat(address=None),
            heartbeat(zone=None),
            heartbeat(seq=None),
            heartbeat(service=7),
            heartbeat(address="10.0.0.9"),
            heartbeat(address="10.0.0.9:http"),
            heartbeat(seq="4"),
            heartbeat(seq=True),
            heartbeat(seq=4.5),
            heartbeat(state="sleeping"),
            heartbeat(state=1),
            heartbeat(born="1790000000123"),
            heartbeat(born=1.5),
            heartbeat(born=True),
        ],
    )
    def test_invalid(self, body):
        assert announcement_from("i-1", body).is_error()

    def test_corrupt_bytes_never_raise(self):
        """Corrupt or foreign input must yield an error with a message, never an exception."""
        rng = random.Random(FUZZ_SEED)
        whole = heartbeat()
        for _ in range(FUZZ_ROUNDS):
            corrupt = bytearray(whole[: rng.randint(0, len(whole))])
            for _ in range(rng.randint(0, 4)):
                if corrupt:
                    corrupt[rng.randrange(len(corrupt))] = rng.randrange(256)
            for read in (
                announcement_from("i-1", bytes(corrupt)),
                deregistration_from("i-1", bytes(corrupt), None),
            ):
                assert read.is_ok() or read.error.message
            decode_report(200, bytes(corrupt))


class TestDeregistrations:
    """A deregistration applies to the server process whose start time it names."""

    def test_named_start_time(self):
        known = announcement_from("i-1", heartbeat()).ok
        former = deregistration_from("i-1", b'{"born":1}', known).ok
        assert (former.incarnation, former.leaving) == (1, True)

    def test_empty_body_means_latest_start_time(self):
        known = announcement_from("i-1", heartbeat()).ok
        assert deregistration_from("i-1", b"", known).ok.incarnation == HEARTBEAT["born"]

    def test_supersedes_all_heartbeats_of_same_process(self):
        known = announcement_from("i-1", heartbeat(seq=10**9)).ok
        assert deregistration_from("i-1", b"", known).ok.seq > 10**9

    def test_unreadable(self):
        assert deregistration_from("i-1", b'{"born":"x"}', None).is_error()


class TestReports:
    """An engine's report contains its pace and its start time."""

    def test_start(self):
        assert decode_report(200, b'{"pace":1.5,"born":12}').started == 12

    def test_start_left_out(self):
        assert decode_report(200, b'{"pace":1.5}').started is None

    def test_unreadable(self):
        assert decode_report(200, b'{"pace":"fast"}') is None
        assert decode_report(503, b"{}") is None
