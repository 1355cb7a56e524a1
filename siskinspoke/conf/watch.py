"""Reload the settings file of a VM, which may change with or without a signal."""

from collections.abc import Callable

from siskinspoke.conf.vm import VmSettings
from siskinspoke.core.codes import FailureError
from siskinspoke.core.decisions import DecisionLog


class SettingsWatcher:
    """Hold the current settings; only the seeds can change while the process runs."""

    def __init__(
        self,
        read_settings: Callable[[], VmSettings],
        on_seeds: Callable[[tuple[str, ...]], None],
        log: DecisionLog,
    ):
        self._read_settings = read_settings
        self._on_seeds_changed = on_seeds
        self._log = log
        self.settings = read_settings()

    def reload(self) -> None:
        """Read the file again and report changed seeds.

        A file that is invalid or only partly written is ignored: the current settings remain.
        """
        try:
            changed = self._read_settings()
        except FailureError as error:
            self._log.note("reload.refused", reason=str(error))
            return
        if changed.seed_hosts != self.settings.seed_hosts:
            self._log.note("reload", seeds=list(changed.seed_hosts))
            self.settings = self.settings._replace(seeds=changed.seeds)
            self._on_seeds_changed(changed.seed_hosts)
