"""Settings that the platform asks for by the names of its contracts."""

from siskinspoke.conf.vm import VmSettings
from siskinspoke.coordination.memory_plan import GATEWAY_SHARES, memory_plan

# Deployments with this contract have more callers at times than their servers have room for.
OVERLOAD_CONTRACT = "pressure"
QUEUE_CAPACITY = 256


def with_features(settings: VmSettings) -> VmSettings:
    """Return the settings with those that the platform asks for by name.

    Settings that the file itself contains are kept.
    """
    if OVERLOAD_CONTRACT not in settings.features:
        return settings
    buffer_bytes = memory_plan(GATEWAY_SHARES, settings.memory_mb).buffers
    return settings._replace(
        queue_capacity=settings.queue_capacity or QUEUE_CAPACITY,
        buffer_bytes=settings.buffer_bytes or buffer_bytes,
    )
