"""Flags and settings file of a VM that discovers the other VMs at run time."""

import os
from collections.abc import Callable

from absl import flags

from siskinspoke.conf.vm import VmSettings, vm_settings_from
from siskinspoke.core.codes import Failure, FailureError, ResultCode
from siskinspoke.platform import SETTINGS_VARIABLE
from siskinspoke.platform.features import with_features

flags.DEFINE_string(
    "vm_file", "", "Settings file of this VM (JSON); defaults to the file named in the environment."
)
flags.DEFINE_integer("metrics_port", 0, "Port for metrics; 0 disables them.")


def settings_reader(path: str) -> Callable[[], VmSettings]:
    """Return a function that reads the settings file on each call."""
    settings_path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not settings_path:
        message = f"pass --vm_file, or set its path in {SETTINGS_VARIABLE}"
        raise FailureError(Failure(ResultCode.USAGE, message))

    def read_settings() -> VmSettings:
        settings = vm_settings_from(settings_path)
        if settings.is_error():
            raise FailureError(settings.error)
        return with_features(settings.ok)

    return read_settings
