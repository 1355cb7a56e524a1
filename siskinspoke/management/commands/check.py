"""Validate a base file and an overlay, or a platform's configuration, without applying them."""

from pathlib import Path

from absl import flags

from siskinspoke.conf import load_files
from siskinspoke.coordination.routes import region_faults
from siskinspoke.core.checks import Fault
from siskinspoke.core.codes import CODE_INFO, Failure, FailureError, ResultCode
from siskinspoke.management.base import emit
from siskinspoke.management.vm_files import settings_reader
from siskinspoke.platform.configuration import DecodedConfiguration, decode_configuration

FLAGS = flags.FLAGS

flags.DEFINE_string(
    "configuration",
    "",
    "Configuration of the platform (JSON) to check instead, with the regions of --vm_file.",
)


def handle(_arguments: list[str]) -> int:
    """Print all faults; the exit code is 0 if there are none."""
    if FLAGS.configuration:
        return _check_configuration(FLAGS.configuration)
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
    return _emit_faults(loaded.error)


def _check_configuration(path: str) -> int:
    """Check the configuration in a file against the regions of a VM's settings."""
    table = _read_configuration(path).table
    faults = region_faults(table, settings_reader(FLAGS.vm_file)().domain_regions)
    if faults:
        return _emit_faults(faults)
    counts = f"{len(table.routes)} routes, {len(table.customers)} customers"
    emit({"faults": []}, f"version {table.version}: no faults; {counts}")
    return 0


def _read_configuration(path: str) -> DecodedConfiguration:
    """Read a configuration file; raise FailureError if it is missing or invalid."""
    try:
        body = Path(path).read_bytes()
    except OSError as error:
        failure = Failure(ResultCode.INVALID_SETTINGS, f"{path}: {error.strerror}")
        raise FailureError(failure) from error
    decoded = decode_configuration(body)
    if decoded.is_error():
        raise FailureError(decoded.error)
    return decoded.ok


def _emit_faults(faults: list[Fault]) -> int:
    text = "\n".join([*(str(fault) for fault in faults), f"{len(faults)} faults"])
    emit({"faults": [fault._asdict() for fault in faults]}, text)
    return CODE_INFO[ResultCode.INVALID_SETTINGS].exit_code
