"""Settings that the platform asks for by the names of its contracts."""

from siskinspoke.conf.vm import VmSettings

# Deployments with this contract have more callers at times than their servers have room for.
OVERLOAD_CONTRACT = "pressure"
QUEUE_CAPACITY = 256
# Share of a VM's memory that may be held for clients that read slowly.
BUFFER_MEMORY_SHARE = 0.25
BYTES_PER_MEGABYTE = 1_000_000


def with_features(settings: VmSettings) -> VmSettings:
    """Return the settings with those that the platform asks for by name.

    Settings that the file itself contains are kept.
    """
    if OVERLOAD_CONTRACT not in settings.features:
        return settings
    buffer_bytes = int(settings.memory_mb * BYTES_PER_MEGABYTE * BUFFER_MEMORY_SHARE)
    return settings._replace(
        queue_capacity=settings.queue_capacity or QUEUE_CAPACITY,
        buffer_bytes=settings.buffer_bytes or buffer_bytes,
    )
