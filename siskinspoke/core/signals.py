"""Signals that stop a daemon or have it reload its settings."""

import signal
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager

import trio

# Called with the event's name and its fields.
Note = Callable[..., None]


@contextmanager
def receive_signals(*numbers: int) -> Iterator[AsyncIterator[int]]:
    """Receive signals; they never have their default action again, also after the context.

    With the default action, a SIGTERM during the shutdown would end the process with requests open.
    """
    early: list[int] = []
    for number in numbers:
        signal.signal(number, lambda received, _frame: early.append(received))
    try:
        with trio.open_signal_receiver(*numbers) as signals:
            for number in early:
                signal.raise_signal(number)
            yield signals
    finally:
        # The interpreter removes handlers before the process exits, but not this.
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)


async def log_further_signals(
    signals: AsyncIterator[int], note: Note, task_status=trio.TASK_STATUS_IGNORED
) -> None:
    """Log signals that arrive during a shutdown, which change nothing."""
    task_status.started()
    async for number in signals:
        note("stop.again", signal=int(number))
