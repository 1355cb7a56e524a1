"""Tests of settings: merging, validation, defaults and the example files."""

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskinspoke.conf import difference, load_files, merge
from siskinspoke.testing.site import site_document, write_site

ROOT = Path(__file__).parents[2]


def load(tmp_path, change):
    """Load a valid site with a change applied to its overlay."""
    files = write_site(20, tmp_path)
    document = json.loads(files.overlay.read_text())
    change(document)
    files.overlay.write_text(json.dumps(document))
    return load_files(str(files.base), str(files.overlay))


class TestMerge:
    """Merging an overlay into a base document."""

    def test_objects_merge_lists_replace_null_removes(self):
        base = {"a": {"b": 1, "c": 2}, "d": [1, 2], "e": 3}
        overlay = {"a": {"b": 9}, "d": [7], "e": None}
        assert merge(base, overlay) == {"a": {"b": 9, "c": 2}, "d": [7]}


DOCUMENTS = st.recursive(
    st.integers() | st.text(max_size=3) | st.lists(st.integers(), max_size=2),
    lambda inner: st.dictionaries(st.sampled_from("abcd"), inner, max_size=4),
    max_leaves=12,
)


class TestDifference:
    """The patches that replicas send to a VM with an older configuration version."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(old=DOCUMENTS, new=DOCUMENTS)
    def test_merging_the_difference_gives_the_new_document(self, old, new):
        assert merge(old, difference(old, new)) == new


class TestFaults:
    """All faults are reported at once, with file, path, id and hint."""

    def test_all_faults_in_one_pass(self, tmp_path):
        def change(document):
            document["entries"][0]["port"] = 70_000
            document["entries"][1]["colour"] = "red"
            document["services"]["redactor"]["kind"] = "magic"
            del document["customers"]["municipio-1"]["key_sha256"]

        faults = load(tmp_path, change).error
        assert {(fault.id, fault.path) for fault in faults} == {
            ("settings.E002", "$.entries[0].port"),
            ("settings.E004", "$.entries[1].colour"),
            ("settings.E003", "$.services.redactor.kind"),
            ("settings.E005", "$.customers.municipio-1.key_sha256"),
        }
        assert all(fault.hint and fault.file.endswith("overlay.json") for fault in faults)

    @pytest.mark.parametrize(
        ("identifier", "change"),
        [
            ("settings.E101", lambda d: d["entries"][1].update(name=d["entries"][0]["name"])),
            ("settings.E102", lambda d: d["entries"][0].update(failure_domain="elsewhere")),
            ("settings.E103", lambda d: d["controls"].pop()),
            ("settings.E104", lambda d: d["entries"][0].update(internal_port=8400)),
            ("settings.E105", lambda d: d["customers"]["municipio-1"].update(priority="vip")),
            (
                "settings.E106",
                lambda d: d["customers"].update(copy=dict(d["customers"]["municipio-1"])),
            ),
            ("settings.E107", lambda d: d.update(limits={"short_tokens": 200_000})),
            ("settings.E108", lambda d: d.update(control={"heartbeat_ms": 700})),
        ],
    )
    def test_conflicts_between_fields(self, tmp_path, identifier, change):
        assert [fault.id for fault in load(tmp_path, change).error] == [identifier]

    def test_broken_files(self, tmp_path):
        (tmp_path / "base.json").write_text("{")
        faults = load_files(str(tmp_path / "base.json"), str(tmp_path / "none.json")).error
        assert [fault.id for fault in faults] == ["settings.E011", "settings.E010"]


class TestExamples:
    """The example settings of both sites are valid."""

    @pytest.mark.parametrize("site", ["litoral", "marmara"])
    def test_no_faults(self, site):
        base, overlay = ROOT / "examples/base.json", ROOT / f"examples/{site}.json"
        loaded = load_files(str(base), str(overlay))
        assert loaded.is_ok(), loaded.error
        assert loaded.ok["limits"]["max_streams"] == 1_000

    def test_site_of_the_tests_has_three_domains(self, tmp_path):
        assert len(site_document(20, tmp_path)["failure_domains"]) == 3
