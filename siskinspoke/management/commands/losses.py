"""Say from gateways' logs, given as files, which requests were late or failed, and why."""

from pathlib import Path

from siskinspoke.analysis.foresight import regrets_of, table
from siskinspoke.analysis.losses import Losses, request_lines
from siskinspoke.core.codes import Failure, FailureError, ResultCode


def handle(arguments: list[str]) -> int:
    """Print which requests of the files were lost and why, and how far decisions were off."""
    if not arguments:
        raise FailureError(Failure(ResultCode.USAGE, "name the files of the logs"))
    losses, lines = Losses(), []
    for name in arguments:
        try:
            text = Path(name).read_text(errors="replace")
        except OSError as error:
            raise FailureError(Failure(ResultCode.USAGE, str(error))) from error
        for line in request_lines(text.splitlines()):
            losses.add(line)
            lines.append(line)
    print(losses.table())
    print(table(regrets_of(lines)))
    return 0
