"""Adapter to the users' platform: its names, formats and calls, without any decision logic.

Everything to which the platform gives a name of its own is decoded here into this project's types
and encoded back. No other package uses the platform's names.
"""

# The environment variable in which the platform passes the path of a VM's settings file.
SETTINGS_VARIABLE = "SISKINSPOKE_BOOT"
