"""Keep what a failing test and its processes have written, for whoever traces it later."""

import re
from pathlib import Path

import pytest

from tests.platform.standin_server import StandinServer

FAILURES = Path("run/failures")
# The end of a log says how its process came to stand where it did.
TAIL_BYTES = 20_000


def pytest_configure(config):
    """Begin each run with an empty folder; workers leave it to the run that started them."""
    if hasattr(config, "workerinput"):
        return
    FAILURES.mkdir(parents=True, exist_ok=True)
    for old in FAILURES.glob("*.txt"):
        old.unlink()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Add the logs of the processes that a failing test has started."""
    report = yield
    folder = item.funcargs.get("tmp_path") if hasattr(item, "funcargs") else None
    if report.failed and folder is not None:
        for log in sorted(folder.rglob("*.log")):
            text = log.read_bytes()[-TAIL_BYTES:].decode(errors="replace")
            report.sections.append((f"end of {log.relative_to(folder)}", text))
    return report


def pytest_runtest_logreport(report):
    """Write down a failure with everything that was captured."""
    if not report.failed:
        return
    name = re.sub(r"[^A-Za-z0-9_.-]+", "_", f"{report.nodeid}-{report.when}")[-150:]
    parts = [report.nodeid, report.longreprtext]
    parts += [f"--- {title}\n{text}" for title, text in report.sections]
    FAILURES.mkdir(parents=True, exist_ok=True)
    (FAILURES / f"{name}.txt").write_text("\n\n".join(parts))


@pytest.fixture(autouse=True)
def keep_to_what_servers_ask():
    """Fail each test in which a stand-in server got more than it had asked for."""
    StandinServer.started.clear()
    yield
    broken = [line for server in StandinServer.started for line in server.account.broken]
    assert not broken, broken[:5]
