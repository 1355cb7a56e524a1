"""Load a base file and an overlay, merge them, and collect all faults."""

from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from siskinspoke.conf import checks  # noqa: F401  (registers the system checks)
from siskinspoke.conf.defaults import SETTINGS
from siskinspoke.conf.schema import validate, with_defaults
from siskinspoke.core.checks import Fault, run_checks


class Document(NamedTuple):
    """The decoded content of a settings file."""

    file: str
    content: dict


def read_document(path: str) -> Result[Document, list[Fault]]:
    """Read one settings file."""
    try:
        content = msgspec.json.decode(Path(path).read_bytes())
    except OSError as error:
        return Error(
            [Fault("settings.E010", "$", error.strerror or str(error), "check the path", path)]
        )
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error([Fault("settings.E011", "$", str(error), "fix the JSON", path)])
    if not isinstance(content, dict):
        return Error([Fault("settings.E011", "$", "is not an object", "use {...}", path)])
    return Ok(Document(path, content))


def merge(base: Any, overlay: Any) -> Any:
    """Merge ``overlay`` into ``base`` as a JSON Merge Patch; null removes a field."""
    if not (isinstance(base, dict) and isinstance(overlay, dict)):
        return overlay
    merged = dict(base)
    for name, value in overlay.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge(merged.get(name), value)
    return merged


def difference(old: Any, new: Any) -> Any:
    """Return the merge patch from ``old`` to ``new``: merge(old, difference(old, new)) == new.

    Null marks a removed field, which is unambiguous because documents contain no nulls.
    """
    if not (isinstance(old, dict) and isinstance(new, dict)):
        return new
    overlay = {name: None for name in old if name not in new}
    for name, value in new.items():
        if name not in old:
            overlay[name] = value
        elif old[name] != value:
            overlay[name] = difference(old[name], value)
    return overlay


def _set_file(fault: Fault, documents: list[Document]) -> Fault:
    """Set a fault's file to the last one that contains its path, or else the last one read."""
    steps = fault.path.replace("[", ".[").split(".")[1:]
    for document in reversed(documents):
        if _contains_path(document.content, steps):
            return fault._replace(file=document.file)
    return fault._replace(file=documents[-1].file)


def _contains_path(content: Any, steps: list[str]) -> bool:
    for step in steps:
        if step.startswith("["):
            index = int(step.strip("[]"))
            if not isinstance(content, list) or index >= len(content):
                return False
            content = content[index]
        elif isinstance(content, dict) and step in content:
            content = content[step]
        else:
            return False
    return True


def load_files(base: str, overlay: str = "") -> Result[dict, list[Fault]]:
    """Return the merged document with defaults filled in, or the faults of both files."""
    results = [read_document(path) for path in (base, overlay) if path]
    faults = [fault for result in results if result.is_error() for fault in result.error]
    if faults:
        return Error(faults)
    documents = [result.ok for result in results]
    merged = documents[0].content
    for document in documents[1:]:
        merged = merge(merged, document.content)
    faults = list(validate(SETTINGS, merged))
    if not faults:
        merged = with_defaults(SETTINGS, merged)
        faults = run_checks(merged)
    if faults:
        return Error([_set_file(fault, documents) for fault in faults])
    return Ok(merged)
