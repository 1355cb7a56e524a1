"""Flags, help, output and exit codes common to all commands."""

import importlib
import pkgutil
import sys
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
from absl import flags

from siskinspoke.core.codes import CODE_INFO, Failure, FailureError, ResultCode
from siskinspoke.management import commands as commands_package

FLAGS = flags.FLAGS

flags.DEFINE_string("base", "", "Base settings file (JSON).")
flags.DEFINE_string("overlay", "", "Settings overlay of the site (JSON).")
flags.DEFINE_string("name", "", "Name of the VM in the settings.")
flags.DEFINE_bool("json", False, "Print JSON instead of text.")


class CommandInfo(NamedTuple):
    """A command's name and the first line of its module's docstring."""

    name: str
    summary: str


def command_names() -> list[str]:
    """Return the names of all commands, as typed on the command line."""
    found = pkgutil.iter_modules(commands_package.__path__)
    return sorted(item.name.replace("_", "-") for item in found)


def load_command(name: str):
    """Import the module of one command."""
    return importlib.import_module(f"{commands_package.__name__}.{name.replace('-', '_')}")


def usage() -> str:
    """Return the help text that lists every command."""
    lines = ["usage: siskinspoke COMMAND [FLAGS]", "", "commands:"]
    for name in command_names():
        summary = (load_command(name).__doc__ or "").strip().splitlines()[0]
        lines.append(f"  {name:<18}{summary}")
    lines += ["", "'siskinspoke COMMAND --help' lists the flags of a command."]
    return "\n".join(lines)


def emit(document: dict, text: str) -> None:
    """Print a result, as JSON with --json and as text otherwise."""
    if FLAGS.json:
        print(msgspec.json.encode(document).decode())
        return
    print(text)


def fail(failure: Failure) -> int:
    """Print a failure and return the exit code of its result code."""
    if FLAGS.is_parsed() and FLAGS.json:
        print(msgspec.json.encode(failure.to_document()).decode())
    else:
        print(f"error {int(failure.code)} {failure.code.name}: {failure.message}", file=sys.stderr)
    return CODE_INFO[failure.code].exit_code


def execute(argv: Sequence[str]) -> int:
    """Run the command that ``argv`` names and return its exit code."""
    if len(argv) < 2 or argv[1] in ("help", "--help", "-h"):
        print(usage())
        return 0
    name = argv[1]
    if name not in command_names():
        print(usage(), file=sys.stderr)
        return fail(Failure(ResultCode.USAGE, f"unknown command {name!r}"))
    command = load_command(name)
    if any(word in ("--help", "-h") for word in argv[2:]):
        print(f"siskinspoke {name}: {command.__doc__.strip()}\n")
        print(FLAGS.module_help(command) or "This command has no flags of its own.")
        # Imported only here, so that other commands need not load the operators' HTTP client.
        operators = importlib.import_module("siskinspoke.management.operators")
        for module in (operators, sys.modules[__name__]):
            print(FLAGS.module_help(module))
        return 0
    try:
        rest = FLAGS([argv[0], *argv[2:]])
        return command.handle(rest[1:])
    except flags.Error as error:
        return fail(Failure(ResultCode.USAGE, str(error)))
    except FailureError as error:
        return fail(error.failure)
