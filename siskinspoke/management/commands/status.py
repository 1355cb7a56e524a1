"""Show the status of each VM: configuration version, leader, servers and open requests."""

from absl import flags

from siskinspoke.conf import settings_from
from siskinspoke.core.codes import CODE_INFO, ResultCode
from siskinspoke.management.base import emit
from siskinspoke.management.operators import OperatorClient

FLAGS = flags.FLAGS


def handle(_arguments: list[str]) -> int:
    """Query every VM; the exit code reports whether any did not answer."""
    settings = settings_from(FLAGS.base, FLAGS.overlay)
    with OperatorClient(settings) as operator:
        controls = {
            item.name: operator.control_status(item.name).document for item in settings.controls
        }
        entries = {
            item.name: operator.entry_status(item.name).document for item in settings.entries
        }
    lines = [f"site {settings.site}", "", "control replicas:"]
    lines += [_control_line(name, document) for name, document in controls.items()]
    lines += ["", "entry VMs:"]
    lines += [_entry_line(name, document) for name, document in entries.items()]
    emit({"controls": controls, "entries": entries}, "\n".join(lines))
    unreachable = [name for name, document in {**controls, **entries}.items() if not document]
    return CODE_INFO[ResultCode.UNREACHABLE].exit_code if unreachable else 0


def _control_line(name: str, document: dict) -> str:
    if not document:
        return f"  {name:<22} no answer"
    return (
        f"  {name:<22} {document['role']:<10} term {document['term']}, "
        f"leader {document['leader'] or 'unknown'}, commit {document['commit']}, "
        f"version {document['configuration_version']}, claims {document['claims']}"
        f"{'' if document['admitted'] else ', not admitted yet'}"
    )


def _entry_line(name: str, document: dict) -> str:
    if not document:
        return f"  {name:<22} no answer"
    draining = ", draining" if document["draining"] else ""
    return (
        f"  {name:<22} version {document['configuration_version']} "
        f"(from {document['configuration_source']}), {len(document['servers'])} servers, "
        f"{document['open_requests']} open{draining}"
    )
