"""Settings: a base file and an overlay per site, checked before use."""

from siskinspoke.conf.loader import difference, load_files, merge
from siskinspoke.conf.settings import Configuration, Settings, configuration_from, settings_from

__all__ = [
    "Configuration",
    "Settings",
    "configuration_from",
    "difference",
    "load_files",
    "merge",
    "settings_from",
]
