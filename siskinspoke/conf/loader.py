"""Read a base file and an overlay, merge them, and report every fault at once."""

from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from siskinspoke.conf import checks  # noqa: F401  (registers the system checks)
from siskinspoke.conf.defaults import SETTINGS
from siskinspoke.conf.schema import validate, with_defaults
from siskinspoke.core.checks import Fault, run_checks


class Document(NamedTuple):
    """A settings file as read."""

    file: str
    content: dict


def read_document(path: str) -> Result[Document, list[Fault]]:
    """Read one settings file."""
    try:
        content = msgspec.json.decode(Path(path).read_bytes())
    except OSError as error:
        return Error([Fault("settings.E010", "$", error.strerror or str(error), "name it", path)])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error([Fault("settings.E011", "$", str(error), "mend the JSON", path)])
    if not isinstance(content, dict):
        return Error([Fault("settings.E011", "$", "is not an object", "use {...}", path)])
    return Ok(Document(path, content))


def merge(base: Any, overlay: Any) -> Any:
    """Return ``base`` with ``overlay`` laid over it; null takes a field away."""
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
    """Return the overlay that makes ``new`` of ``old``: merge(old, difference(old, new)) == new.

    Documents hold no null, so null can stand for a field that goes.
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


def _locate(fault: Fault, documents: list[Document]) -> Fault:
    """Name the last file that holds the path of a fault, or the last file of all."""
    steps = fault.path.replace("[", ".[").split(".")[1:]
    for document in reversed(documents):
        if _holds(document.content, steps):
            return fault._replace(file=document.file)
    return fault._replace(file=documents[-1].file)


def _holds(content: Any, steps: list[str]) -> bool:
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
    """Return the merged document with defaults, or every fault in both files."""
    read = [read_document(path) for path in (base, overlay) if path]
    faults = [fault for result in read if result.is_error() for fault in result.error]
    if faults:
        return Error(faults)
    documents = [result.ok for result in read]
    merged = documents[0].content
    for document in documents[1:]:
        merged = merge(merged, document.content)
    faults = list(validate(SETTINGS, merged))
    if not faults:
        merged = with_defaults(SETTINGS, merged)
        faults = run_checks(merged)
    if faults:
        return Error([_locate(fault, documents) for fault in faults])
    return Ok(merged)
