"""Components that every layer uses: result codes, checks, counters and logs."""

from siskinspoke.core.codes import Failure, ResultCode, Run

__all__ = ["Failure", "ResultCode", "Run"]
