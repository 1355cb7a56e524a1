"""Tell an orderly end of a connection from a reset.

An answer without a length is whole only if its connection ends in order.  Linux reports a reset to
a single call.  If that is a write, later reads return the data that had arrived, and then an end
that looks like an orderly one.
"""

import errno


def proves_orderly_end(error: BaseException) -> bool:
    """Return whether a failed write proves that the peer had ended its data in order before.

    Linux reports a reset as EPIPE after such an end, and as ECONNRESET without one.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError):
            return cause.errno == errno.EPIPE
        cause = cause.__cause__ or cause.__context__
    return False
