"""What the kernel tells of a process: its memory and its open descriptors."""

import resource
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

# Descriptors that a VM needs for servers, peers, control VMs and files beside those of clients.
SPARE_DESCRIPTORS = 64
SAMPLE_SECONDS = 0.02


def peak_memory_mb(pid: int) -> float:
    """Return the largest resident memory that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1_000
    raise ValueError("no peak memory")


def descriptor_count(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


class DescriptorWatch:
    """Samples how many descriptors a process has open, while the context is open."""

    def __init__(self, pid: int):
        self._pid = pid
        self._peak = 0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._sample)

    @property
    def peak(self) -> int:
        """Return the most descriptors that were open."""
        return self._peak

    def __enter__(self) -> "DescriptorWatch":
        self._thread.start()
        return self

    def __exit__(self, *details) -> None:
        self._ended.set()
        self._thread.join()

    def _sample(self) -> None:
        while not self._ended.wait(SAMPLE_SECONDS):
            self._peak = max(self._peak, descriptor_count(self._pid))


@contextmanager
def descriptor_limit(count: int) -> Iterator[None]:
    """Let processes that are started while the context is open have ``count`` descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
