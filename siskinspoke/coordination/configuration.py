"""Active configuration of a process; its version never decreases."""

from typing import NamedTuple

from siskinspoke.conf import Configuration, configuration_from

SOURCE_FILES = "files"
SOURCE_DISK = "disk"
SOURCE_CONTROL = "control"


class ActiveConfiguration(NamedTuple):
    """A configuration with its version and source."""

    version: int
    configuration: Configuration
    document: dict
    source: str


class ConfigurationHolder:
    """Store the active configuration and reject older versions.

    A control replica that lags, or that restarted from an old snapshot, may offer an older version
    to this process. Installing it would revert an accepted change.
    """

    def __init__(self, configuration: Configuration, document: dict):
        self._in_force = ActiveConfiguration(0, configuration, document, SOURCE_FILES)

    @property
    def current(self) -> ActiveConfiguration:
        """Return the active configuration."""
        return self._in_force

    def install(self, version: int, document: dict, source: str) -> bool:
        """Activate a configuration; return False if it is not newer or not valid."""
        if version <= self._in_force.version:
            return False
        parsed = configuration_from(document)
        if parsed.is_error():
            return False
        self._in_force = ActiveConfiguration(version, parsed.ok, document, source)
        return True
