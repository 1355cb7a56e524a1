"""Components that every layer uses: result codes, checks, counters and logs."""

from siskinspoke.core.codes import Failure, ResultCode, RunStatus

__all__ = ["Failure", "ResultCode", "RunStatus"]
