"""Numbered result codes, what each implies about the request, and the typed failure.

The thousands digit is the class: 1 invalid input, 2 temporarily refused, 3 execution of the
request, 4 configuration and control, 5 durable state, 6 command line. A test checks that
``docs/reference/codes.md`` contains the same table.
"""

from enum import Enum, IntEnum
from typing import NamedTuple


class RunStatus(Enum):
    """Whether a request ran, as far as its result tells."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ResultCode(IntEnum):
    """All results that a process of the system can return."""

    OK = 0
    NOT_JSON = 1001
    INVALID_FIELD = 1002
    BODY_TOO_LARGE = 1003
    UNKNOWN_MODEL = 1004
    UNAUTHENTICATED = 1005
    INVALID_DEADLINE = 1006
    KEY_REQUIRED = 1007
    INVALID_KEY = 1008
    KEY_EXPIRED = 1009
    BODY_TIMEOUT = 1010
    PROMPT_TOO_LONG = 1011
    UNKNOWN_STREAM = 1012
    UNKNOWN_PATH = 1013
    UNKNOWN_PEER = 1014
    OVERLOADED = 2001
    CUSTOMER_LIMIT = 2002
    NO_SERVER = 2003
    DRAINING = 2004
    CLAIMS_UNAVAILABLE = 2005
    TOO_MANY_STREAMS = 2006
    NOT_REACHABLE_NOW = 2007
    QUARANTINED = 2008
    EVACUATED = 2009
    REGION = 2010
    OLDER_CONFIGURATION = 2011
    DEADLINE_PASSED = 3001
    FATE_UNKNOWN = 3002
    IN_PROGRESS = 3003
    ENGINE_LOST = 3004
    SLOW_READER = 3005
    DISPATCH_FAILED = 3006
    SERVER_ERROR = 3007
    ALREADY_RAN = 3008
    CALLER_GONE = 3009
    INTERNAL = 3010
    VERSION_CONFLICT = 4001
    NOT_LEADER = 4002
    NO_QUORUM = 4003
    INVALID_SETTINGS = 4004
    ORDER_REUSED = 4005
    NOT_IN_FORCE = 4006
    CLAIM_CONFLICT = 4007
    UNKNOWN_DOMAIN = 4008
    NOTHING_CHANGED = 4009
    JOURNAL_CORRUPT = 5001
    DISK_FULL = 5002
    FOREIGN_FOLDER = 5003
    DISK_FAILED = 5004
    USAGE = 6001
    UNREACHABLE = 6002
    CHECK_FAILED = 6003


class CodeInfo(NamedTuple):
    """The HTTP status, execution state, process exit code and meaning of a result code."""

    status: int
    run: RunStatus
    exit_code: int
    meaning: str


CODE_INFO: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: CodeInfo(200, RunStatus.RAN, 0, "Done."),
    ResultCode.NOT_JSON: CodeInfo(400, RunStatus.NOT_RUN, 10, "The body is not a JSON object."),
    ResultCode.INVALID_FIELD: CodeInfo(400, RunStatus.NOT_RUN, 10, "A field is missing or wrong."),
    ResultCode.BODY_TOO_LARGE: CodeInfo(413, RunStatus.NOT_RUN, 10, "The body is over the limit."),
    ResultCode.UNKNOWN_MODEL: CodeInfo(404, RunStatus.NOT_RUN, 10, "No such model or service."),
    ResultCode.UNAUTHENTICATED: CodeInfo(
        401, RunStatus.NOT_RUN, 10, "The key is not a customer's."
    ),
    ResultCode.INVALID_DEADLINE: CodeInfo(
        400, RunStatus.NOT_RUN, 10, "The deadline is out of range."
    ),
    ResultCode.KEY_REQUIRED: CodeInfo(
        400, RunStatus.NOT_RUN, 10, "A non-idempotent request needs an Idempotency-Key."
    ),
    ResultCode.INVALID_KEY: CodeInfo(
        400, RunStatus.NOT_RUN, 10, "The Idempotency-Key is malformed."
    ),
    ResultCode.KEY_EXPIRED: CodeInfo(
        410, RunStatus.UNKNOWN, 10, "The Idempotency-Key has expired."
    ),
    ResultCode.BODY_TIMEOUT: CodeInfo(
        408, RunStatus.NOT_RUN, 10, "The body did not arrive in time."
    ),
    ResultCode.PROMPT_TOO_LONG: CodeInfo(
        422, RunStatus.NOT_RUN, 10, "No announced engine or group can ever hold the prompt."
    ),
    ResultCode.UNKNOWN_STREAM: CodeInfo(
        404, RunStatus.UNKNOWN, 10, "No such stream of this customer."
    ),
    ResultCode.UNKNOWN_PATH: CodeInfo(404, RunStatus.NOT_RUN, 10, "No such path or method."),
    ResultCode.UNKNOWN_PEER: CodeInfo(
        401, RunStatus.NOT_RUN, 10, "A forwarded request is not sealed with the VMs' key."
    ),
    ResultCode.OVERLOADED: CodeInfo(503, RunStatus.NOT_RUN, 20, "The deadline cannot be met now."),
    ResultCode.CUSTOMER_LIMIT: CodeInfo(
        429, RunStatus.NOT_RUN, 20, "Over the customer's fair share."
    ),
    ResultCode.NO_SERVER: CodeInfo(
        503, RunStatus.NOT_RUN, 20, "No backend server can take it now."
    ),
    ResultCode.DRAINING: CodeInfo(503, RunStatus.NOT_RUN, 20, "This VM is shutting down."),
    ResultCode.CLAIMS_UNAVAILABLE: CodeInfo(
        503, RunStatus.UNKNOWN, 20, "No quorum to claim a non-idempotent request."
    ),
    ResultCode.TOO_MANY_STREAMS: CodeInfo(503, RunStatus.NOT_RUN, 20, "This VM is full."),
    ResultCode.NOT_REACHABLE_NOW: CodeInfo(
        503, RunStatus.NOT_RUN, 20, "The servers that could hold it are cut off."
    ),
    ResultCode.QUARANTINED: CodeInfo(
        503, RunStatus.NOT_RUN, 20, "Servers crash under this request, so it is not sent."
    ),
    ResultCode.EVACUATED: CodeInfo(
        503, RunStatus.NOT_RUN, 20, "All servers of the service are in evacuated failure domains."
    ),
    ResultCode.REGION: CodeInfo(503, RunStatus.NOT_RUN, 20, "No server is in an allowed region."),
    ResultCode.OLDER_CONFIGURATION: CodeInfo(
        503, RunStatus.NOT_RUN, 20, "This VM has an older configuration than the one that asks."
    ),
    ResultCode.DEADLINE_PASSED: CodeInfo(504, RunStatus.UNKNOWN, 30, "The deadline passed."),
    ResultCode.FATE_UNKNOWN: CodeInfo(502, RunStatus.UNKNOWN, 30, "It may have run."),
    ResultCode.IN_PROGRESS: CodeInfo(409, RunStatus.RAN, 30, "The first attempt still runs."),
    ResultCode.ENGINE_LOST: CodeInfo(502, RunStatus.RAN, 30, "The engine was lost in mid-answer."),
    ResultCode.SLOW_READER: CodeInfo(499, RunStatus.RAN, 30, "The caller read too slowly."),
    ResultCode.DISPATCH_FAILED: CodeInfo(502, RunStatus.NOT_RUN, 30, "No server took the request."),
    ResultCode.SERVER_ERROR: CodeInfo(502, RunStatus.RAN, 30, "The backend server gave an error."),
    ResultCode.ALREADY_RAN: CodeInfo(
        409, RunStatus.RAN, 30, "It ran before; its answer is not kept."
    ),
    ResultCode.CALLER_GONE: CodeInfo(499, RunStatus.UNKNOWN, 30, "The caller hung up."),
    ResultCode.INTERNAL: CodeInfo(500, RunStatus.UNKNOWN, 30, "A fault of this VM."),
    ResultCode.VERSION_CONFLICT: CodeInfo(409, RunStatus.NOT_RUN, 40, "Another change came first."),
    ResultCode.NOT_LEADER: CodeInfo(421, RunStatus.NOT_RUN, 40, "Ask the leader."),
    ResultCode.NO_QUORUM: CodeInfo(503, RunStatus.UNKNOWN, 40, "No majority answered in time."),
    ResultCode.INVALID_SETTINGS: CodeInfo(422, RunStatus.NOT_RUN, 40, "The settings have faults."),
    ResultCode.ORDER_REUSED: CodeInfo(
        409, RunStatus.NOT_RUN, 40, "The order id was used for another change."
    ),
    ResultCode.NOT_IN_FORCE: CodeInfo(
        504, RunStatus.RAN, 41, "Accepted, but some VMs have not confirmed it."
    ),
    ResultCode.CLAIM_CONFLICT: CodeInfo(
        409, RunStatus.NOT_RUN, 40, "The claim is another attempt's."
    ),
    ResultCode.UNKNOWN_DOMAIN: CodeInfo(404, RunStatus.NOT_RUN, 40, "No such failure domain."),
    ResultCode.NOTHING_CHANGED: CodeInfo(200, RunStatus.RAN, 0, "Accepted, and in force already."),
    ResultCode.JOURNAL_CORRUPT: CodeInfo(500, RunStatus.UNKNOWN, 50, "The journal is damaged."),
    ResultCode.DISK_FULL: CodeInfo(500, RunStatus.UNKNOWN, 50, "The disk is full."),
    ResultCode.FOREIGN_FOLDER: CodeInfo(500, RunStatus.NOT_RUN, 50, "The folder is another VM's."),
    ResultCode.DISK_FAILED: CodeInfo(500, RunStatus.UNKNOWN, 50, "The disk refused a write."),
    ResultCode.USAGE: CodeInfo(400, RunStatus.NOT_RUN, 2, "The command line is wrong."),
    ResultCode.UNREACHABLE: CodeInfo(503, RunStatus.UNKNOWN, 60, "No process answered."),
    ResultCode.CHECK_FAILED: CodeInfo(500, RunStatus.RAN, 61, "A check did not hold."),
}


class Failure(NamedTuple):
    """A typed error: a result code, a human-readable message and a retry delay.

    ``retry_after_ms`` is None if a retry is pointless. ``run`` overrides the default execution
    state of the code if more is known.
    """

    code: ResultCode
    message: str
    retry_after_ms: int | None = None
    run: RunStatus | None = None

    @property
    def run_status(self) -> RunStatus:
        """Return whether the request ran, as far as is known."""
        return self.run or CODE_INFO[self.code].run

    def to_document(self) -> dict:
        """Return the JSON body sent to the caller."""
        return {
            "error": {
                "code": int(self.code),
                "name": self.code.name,
                "message": self.message,
                "run": self.run_status.value,
                "retry_after_ms": self.retry_after_ms,
            }
        }


class FailureError(Exception):
    """Wraps a Failure for code that cannot return a Result."""

    def __init__(self, failure: Failure):
        super().__init__(f"{failure.code.name}: {failure.message}")
        self.failure = failure
