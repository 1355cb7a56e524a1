"""The platform's header names, with what each holds where the name does not say it."""

REQUEST_ID = b"Request-Id"
# The time that the client will wait, or that is left, in milliseconds; not a moment.
DEADLINE = b"Deadline-Ms"
API_KEY = b"Api-Key"
# The name of the customer; only this system may set it.
CUSTOMER = b"Tenant"
# The incarnation that must serve the request; any other answers 421.
EXPECTED_SERVER = b"Expect-Instance"
LAST_EVENT = b"Last-Event-Id"
# Prompt tokens and the most output tokens, with a comma between.
TOKEN_COUNTS = b"Token-Counts"
# 0 goes first and 9 last.
RANK = b"Request-Priority"
# Other servers that read parts of the prompt, as HOST:PORT or HOST:PORT/RESERVATION.
HELPERS = b"Helpers"
WEIGHTS_WANTED = b"Expect-Version"
# Present on an answer that says that its request has not run and never will.
NOT_RUN = b"Not-Run"
# The server's signature; it goes back to the client unchanged.
STAMP = b"Server-Stamp"
# Running requests, waiting requests and slots.
LOAD = b"Server-Load"
# The requests a second that a server takes from all VMs together, while its answers name it.
RATE_LIMIT = b"Server-Limit"
# On the answers of a server that leaves.
LEAVING = b"Server-Leaving"
# The incarnation that does have the address, on a 421.
ANSWERED_BY = b"Instance-Id"
# The address of the server at fault, where a helper and not the addressed server failed.
AT_FAULT = b"At-Server"
# When to come back, in seconds: on refusals to clients, and of servers to this system.
RETRY_AFTER = b"Retry-After"

# Headers that concern one connection and end with it.
ONE_CONNECTION = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
# Headers that only this system may set on a request.
SET_HERE = frozenset(
    name.lower()
    for name in (DEADLINE, API_KEY, CUSTOMER, EXPECTED_SERVER, RANK, HELPERS, WEIGHTS_WANTED)
)
