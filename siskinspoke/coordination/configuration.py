"""The configuration that a process has in force; its version never goes back."""

from typing import NamedTuple

from siskinspoke.conf import Configuration, configuration_from

FROM_FILES = "files"
FROM_DISK = "disk"
FROM_CONTROL = "control"


class InForce(NamedTuple):
    """A configuration, its version, and where it came from."""

    version: int
    configuration: Configuration
    document: dict
    source: str


class ConfigurationHolder:
    """Hold what is in force; refuse what is older.

    A control replica that lags, or one restarted from an old snapshot, may offer an older
    version to this process; installing it would undo an accepted change.
    """

    def __init__(self, configuration: Configuration, document: dict):
        self._in_force = InForce(0, configuration, document, FROM_FILES)

    @property
    def current(self) -> InForce:
        """Return what is in force."""
        return self._in_force

    def install(self, version: int, document: dict, source: str) -> bool:
        """Put a newer valid configuration in force; False if it is not newer or not valid."""
        if version <= self._in_force.version:
            return False
        read = configuration_from(document)
        if read.is_error():
            return False
        self._in_force = InForce(version, read.ok, document, source)
        return True
