"""Validate a base file and an overlay without applying them."""

from absl import flags

from siskinspoke.conf import load_files
from siskinspoke.core.codes import CODE_INFO, ResultCode
from siskinspoke.management.base import emit

FLAGS = flags.FLAGS


def handle(_arguments: list[str]) -> int:
    """Print all faults; the exit code is 0 if there are none."""
    loaded = load_files(FLAGS.base, FLAGS.overlay)
    if loaded.is_ok():
        document = loaded.ok
        text = (
            f"{document['site']}: no faults; {len(document['entries'])} entry VMs, "
            f"{len(document['controls'])} control replicas, {len(document['services'])} services, "
            f"{len(document['customers'])} customers"
        )
        emit({"faults": []}, text)
        return 0
    faults = loaded.error
    text = "\n".join([*(str(fault) for fault in faults), f"{len(faults)} faults"])
    emit({"faults": [fault._asdict() for fault in faults]}, text)
    return CODE_INFO[ResultCode.INVALID_SETTINGS].exit_code
