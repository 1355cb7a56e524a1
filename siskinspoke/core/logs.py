"""Structured logs: one JSON line per state change, on standard error."""

import sys

import msgspec
from loguru import logger


def _write(message) -> None:
    """Write a record as a JSON line with the fields that operators search for."""
    record = message.record
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "process": record["extra"].get("process", ""),
        "module": record["name"],
        "message": record["message"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(msgspec.json.encode(line).decode() + "\n")


def configure_logs(process: str, level: str = "INFO") -> None:
    """Log to standard error as JSON lines that contain the process name."""
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(_write, level=level, backtrace=False, diagnose=False)
