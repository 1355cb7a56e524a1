"""Begin, end or list evacuations: servers of an evacuated failure domain get no new requests.

Usage: siskinspoke evacuation begin|end DOMAIN --control=HOST:PORT[,HOST:PORT...]
       siskinspoke evacuation list --control=HOST:PORT[,HOST:PORT...]

Orders are idempotent; repeat one whose outcome is unknown.
"""

import datetime
import time
from typing import NamedTuple
from urllib.parse import quote

import httpx
import msgspec
from absl import flags

from siskinspoke.core.codes import Failure, FailureError, ResultCode
from siskinspoke.management.base import emit, fail

FLAGS = flags.FLAGS

flags.DEFINE_list("control", [], "Operators' addresses of control VMs, asked in turn.")

# A control VM answers within 0.9 s.  An order that none has acknowledged after the whole time may
# have been accepted all the same.
TRY_SECONDS = 1.0
TOTAL_SECONDS = 5.0
RETRY_INTERVAL_SECONDS = 0.1


class Reply(NamedTuple):
    """A control VM's answer; status 0 means that there was none."""

    status: int
    document: dict


def handle(arguments: list[str]) -> int:
    """Give the order, or print the evacuations."""
    if not FLAGS.control:
        raise FailureError(Failure(ResultCode.USAGE, "--control names no control VM"))
    match arguments:
        case ["begin" | "end" as action, domain]:
            reply = _ask("POST", f"/evacuation/{quote(domain, safe='')}/{action}")
            emit(reply.document, _order_text(reply.document))
        case ["list"]:
            reply = _ask("GET", "/evacuation")
            emit(reply.document, _list_text(reply.document))
        case _:
            return fail(Failure(ResultCode.USAGE, "expected begin DOMAIN, end DOMAIN or list"))
    return 0


def _ask(method: str, path: str) -> Reply:
    """Ask the control VMs in turn until one has answered; raise FailureError if none does."""
    deadline = time.monotonic() + TOTAL_SECONDS
    with httpx.Client(timeout=TRY_SECONDS, trust_env=False) as client:
        while True:
            for address in FLAGS.control:
                reply = _try(client, method, f"http://{address}{path}")
                if reply.status == 200:
                    return reply
                if 400 <= reply.status < 500:
                    raise FailureError(_failure(reply))
            if time.monotonic() >= deadline:
                message = "no control VM has confirmed it; it may have been accepted, repeat it"
                raise FailureError(Failure(ResultCode.NO_QUORUM, message))
            time.sleep(RETRY_INTERVAL_SECONDS)


def _try(client: httpx.Client, method: str, url: str) -> Reply:
    try:
        response = client.request(method, url)
        return Reply(response.status_code, msgspec.json.decode(response.content))
    except (httpx.HTTPError, httpx.InvalidURL, msgspec.DecodeError):
        # The next control VM is asked, and the caller reports that none has answered.
        return Reply(0, {})


def _failure(reply: Reply) -> Failure:
    error = reply.document["error"]
    return Failure(ResultCode(error["code"]), error["message"])


def _order_text(document: dict) -> str:
    state = "is evacuated" if document["evacuated"] else "is not evacuated"
    change = "" if document["changed"] else " already"
    return f"{document['domain']} {state}{change}, revision {document['revision']}"


def _list_text(document: dict) -> str:
    lines = [_line(item) for item in document["evacuations"]] or ["nothing is evacuated"]
    if not document["current"]:
        lines.append("no majority confirms this; newer orders may exist")
    return "\n".join(lines)


def _line(item: dict) -> str:
    begun = datetime.datetime.fromtimestamp(item["begun_ms"] / 1000, datetime.UTC)
    return (
        f"{item['domain']}: since {begun:%Y-%m-%d %H:%M:%S} UTC through {item['accepted_by']}, "
        f"revision {item['revision']}; confirmed by {_names(item['confirmed'])}; "
        f"not confirmed by {_names(item['unconfirmed'])}"
    )


def _names(names: list[str]) -> str:
    return ", ".join(names) or "none"
