"""Tests that the documentation matches the code."""

import re
from pathlib import Path

from siskinspoke.conf.defaults import CONTROL, ENTRY, LIMITS
from siskinspoke.core.codes import CODE_INFO, ResultCode

ROOT = Path(__file__).parents[2]


class TestCodesPage:
    """docs/reference/codes.md contains the table of result codes."""

    def test_every_code_has_its_row(self):
        page = (ROOT / "docs/reference/codes.md").read_text()
        for code in ResultCode:
            facts = CODE_INFO[code]
            row = (
                f"| {int(code)} | {code.name} | {facts.status} | {facts.run.value} "
                f"| {facts.exit_code} | {facts.meaning} |"
            )
            assert row in page


class TestCountersPage:
    """docs/reference/counters.md lists every counter."""

    def test_every_counter_is_listed(self):
        page = (ROOT / "docs/reference/counters.md").read_text()
        for path in (ROOT / "siskinspoke").rglob("*.py"):
            for name in re.findall(r'(?:count|gauge)\(\s*f?"([a-z_.]+)', path.read_text()):
                assert f"`{name}" in page, f"{name} of {path.name}"


class TestNoLocalPaths:
    """The repository contains no paths of a particular machine."""

    def test_no_local_paths(self):
        for folder in ("siskinspoke", "docs", "scripts", "examples"):
            for path in (ROOT / folder).rglob("*"):
                if path.is_file() and path.suffix != ".pyc":
                    text = path.read_text(errors="replace")
                    assert f"{ROOT}/" not in text, path
                    assert f"{Path.home()}/" not in text, path


class TestSettingsPage:
    """docs/reference/settings.md lists every setting."""

    def test_every_setting_is_listed(self):
        page = (ROOT / "docs/reference/settings.md").read_text()
        for section, record in (("limits", LIMITS), ("entries[]", ENTRY), ("controls[]", CONTROL)):
            for name in record.fields:
                assert f"| `{section}.{name}` |" in page
