"""Report from gateway log files which requests were late or failed, and why."""

from pathlib import Path

from siskinspoke.analysis.foresight import collect_stats, format_table
from siskinspoke.analysis.losses import FailureReport, parse_request_lines
from siskinspoke.core.codes import Failure, FailureError, ResultCode


def handle(arguments: list[str]) -> int:
    """Print causes of late and failed requests, and the error of first-token predictions."""
    if not arguments:
        raise FailureError(Failure(ResultCode.USAGE, "no log files given"))
    losses, lines = FailureReport(), []
    for name in arguments:
        try:
            text = Path(name).read_text(errors="replace")
        except OSError as error:
            raise FailureError(Failure(ResultCode.USAGE, str(error))) from error
        for line in parse_request_lines(text.splitlines()):
            losses.add(line)
            lines.append(line)
    print(losses.to_text())
    print(format_table(collect_stats(lines)))
    return 0
