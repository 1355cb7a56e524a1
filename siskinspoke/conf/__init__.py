"""Settings: a base file and an overlay per site, checked before use.

The names below are loaded at their first use: a VM that has settings of another kind
(``conf.vm``) would otherwise load them at each start, before it serves anybody.
"""

import importlib
from typing import Any

_MODULES = {
    "Configuration": "settings",
    "Settings": "settings",
    "configuration_from": "settings",
    "difference": "loader",
    "load_files": "loader",
    "merge": "loader",
    "settings_from": "settings",
}

__all__ = sorted(_MODULES)


def __getattr__(name: str) -> Any:
    """Load a name from its module at its first use."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{_MODULES[name]}"), name)
