"""Settings: a base file and a per-site overlay, validated before use.

The names below are imported lazily: a VM that is configured through ``conf.vm`` does not need
them, and importing them would delay its start.
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
    """Import a public name from its module on first access."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{_MODULES[name]}"), name)
