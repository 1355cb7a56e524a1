"""Save the output of failing tests and the logs of the processes that they started."""

import re
from pathlib import Path

import pytest

from tests.platform.standin_server import StandinServer

FAILURES_DIRECTORY = Path("run/failures")
# The end of a log shows the state in which its process was left.
LOG_TAIL_BYTES = 20_000


def pytest_configure(config):
    """Empty the folder before each run; xdist workers leave this to the controller."""
    if hasattr(config, "workerinput"):
        return
    FAILURES_DIRECTORY.mkdir(parents=True, exist_ok=True)
    for stale in FAILURES_DIRECTORY.glob("*.txt"):
        stale.unlink()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Attach the logs of the processes that a failing test started to its report."""
    report = yield
    folder = item.funcargs.get("tmp_path") if hasattr(item, "funcargs") else None
    if report.failed and folder is not None:
        for log in sorted(folder.rglob("*.log")):
            text = log.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")
            report.sections.append((f"end of {log.relative_to(folder)}", text))
    return report


def pytest_runtest_logreport(report):
    """Write the traceback and the captured output of a failure to a file."""
    if not report.failed:
        return
    name = re.sub(r"[^A-Za-z0-9_.-]+", "_", f"{report.nodeid}-{report.when}")[-150:]
    parts = [report.nodeid, report.longreprtext]
    parts += [f"--- {title}\n{text}" for title, text in report.sections]
    FAILURES_DIRECTORY.mkdir(parents=True, exist_ok=True)
    (FAILURES_DIRECTORY / f"{name}.txt").write_text("\n\n".join(parts))


@pytest.fixture(autouse=True)
def check_server_limits():
    """Fail a test in which a stand-in server got requests against its limits or back-offs."""
    StandinServer.started.clear()
    yield
    violations = [line for server in StandinServer.started for line in server.account.violations]
    assert not violations, violations[:5]
