"""Demonstration: run a whole site on this machine, send prompts of all lengths, check answers."""

import sys
import time
from pathlib import Path

import trio

from siskinspoke.loadgen.client import ApiClient, Outcome, idempotency_key, prompt_text
from siskinspoke.testing.fleet import Fleet, ServerSpec, write_keys
from siskinspoke.testing.networks import networks
from siskinspoke.testing.site import SERVER_PORT, address, customer_key

PROMPT_LENGTHS = (1_000, 4_000, 16_000, 64_000, 250_000, 1_000_000)
PROMPTS_PER_LENGTH = 4
ENGINES_PER_DOMAIN = 2
MAX_TOKENS = 32
TIMEOUT_MS = 40_000
CALL_COUNT = 5
CUSTOMER = "municipio-1"
EXAMPLE_NET, EXAMPLE_FOLDER = 10, "run/litoral"


def data_folder(net: int) -> str:
    """Return the data folder for a network; concurrent demonstrations must not share journals."""
    return EXAMPLE_FOLDER if net == EXAMPLE_NET else f"{EXAMPLE_FOLDER}-{net}"


def relocate_settings(example: str, net: int) -> str:
    """Return the example settings with addresses and data folders changed for another network."""
    relocated = example.replace(f'"127.{EXAMPLE_NET}.', f'"127.{net}.')
    return relocated.replace(f'"{EXAMPLE_FOLDER}/', f'"{data_folder(net)}/')


def write_settings(root: Path, net: int) -> Path:
    """Write the demonstration's settings for a network and return the path of the file."""
    overlay = root / data_folder(net) / "overlay.json"
    overlay.parent.mkdir(parents=True, exist_ok=True)
    overlay.write_text(relocate_settings((root / "examples/litoral.json").read_text(), net))
    return overlay


def server_specs(fleet: Fleet) -> list[ServerSpec]:
    """Return the stand-in servers to start: engines in each failure domain, one plain service."""
    net = networks().demonstration[0]
    specs = []
    for index, domain in enumerate(fleet.settings.failure_domains):
        for number in range(1, ENGINES_PER_DOMAIN + 1):
            host = address(net, index, 100 + number)
            flags = ("--prefill_ms_per_token=0.004", "--chunk_tokens=4096")
            name = f"engine-{domain}-{number}"
            specs.append(ServerSpec(name, domain, host, SERVER_PORT, "redactor", flags))
    domain = fleet.settings.failure_domains[0]
    specs.append(
        ServerSpec(
            "despacho-1",
            domain,
            address(net, 0, 150),
            SERVER_PORT,
            "despacho",
            (),
            "standin-service",
        )
    )
    return specs


def start_site(fleet: Fleet) -> None:
    """Start every process of the site and wait until it serves."""
    fleet.start_site(server_specs(fleet))


async def send_requests(fleet: Fleet) -> tuple[list[Outcome], list[Outcome]]:
    """Send prompts of all lengths concurrently, and calls to the plain service."""
    completions: list[Outcome] = []
    calls: list[Outcome] = []
    entries = [(entry.host, entry.port) for entry in fleet.settings.entries]
    async with ApiClient(entries) as caller, trio.open_nursery() as nursery:

        async def complete(number: int, tokens: int) -> None:
            prompt = prompt_text(CUSTOMER, number % 3, number, tokens, 0.3)
            outcome = await caller.complete(
                "redactor", customer_key(CUSTOMER), prompt, MAX_TOKENS, TIMEOUT_MS
            )
            completions.append(outcome)

        async def call(number: int) -> None:
            key = idempotency_key(f"letter-{number}")
            outcome = await caller.call("despacho", customer_key(CUSTOMER), "send", key)
            calls.append(outcome)

        number = 0
        for tokens in PROMPT_LENGTHS:
            for _ in range(PROMPTS_PER_LENGTH if tokens < PROMPT_LENGTHS[-1] else 1):
                number += 1
                nursery.start_soon(complete, number, tokens)
                await trio.sleep(0.05)
        for number in range(CALL_COUNT):
            nursery.start_soon(call, number)
    return completions, calls


def print_report(completions: list[Outcome], calls: list[Outcome], seconds: float) -> bool:
    """Print counts and times to first token by prompt length; return whether all succeeded."""
    print(f"{'prompt tokens':>14} {'answers':>8} {'whole':>6} {'time to first token, ms':<40}")
    for tokens in PROMPT_LENGTHS:
        found = [item for item in completions if item.prompt_tokens == tokens]
        whole = sum(item.is_complete for item in found)
        times = sorted(item.first_token * 1000 for item in found if item.first_token is not None)
        shown = "  ".join(f"{item:.0f}" for item in times)
        print(f"{tokens:>14,} {len(found):>8} {whole:>6} {shown:<40}")
    ran = sum(item.is_complete for item in calls)
    print(f"non-idempotent calls: {len(calls)}, answered {ran}")
    failed = [item for item in [*completions, *calls] if not item.is_complete]
    for item in failed:
        print(f"failed: {item}")
    print(f"{len(completions) + len(calls)} requests, {len(failed)} failed, {seconds:.1f} s")
    return not failed


def main() -> int:
    """Run the demonstration with the example settings of the site Litoral."""
    began = time.monotonic()
    root = Path.cwd()
    write_keys(root / "run" / "keys")
    program = tuple(sys.argv[1:])
    overlay = write_settings(root, networks().demonstration[0])
    with Fleet(overlay.parent, root / "examples/base.json", overlay, program) as fleet:
        start_site(fleet)
        print(f"{len(fleet.settings.entries)} entry VMs in 3 failure domains are up")
        completions, calls = trio.run(send_requests, fleet)
    return 0 if print_report(completions, calls, time.monotonic() - began) else 1


if __name__ == "__main__":
    sys.exit(main())
