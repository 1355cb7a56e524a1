"""Names of the platform's HTTP headers."""

REQUEST_ID = b"Request-Id"
# The time for which the client will still wait, in milliseconds; a duration, not a timestamp.
DEADLINE = b"Deadline-Ms"
API_KEY = b"Api-Key"
# The name of the customer; only this system may set it.
CUSTOMER = b"Tenant"
# The server instance that must handle the request; any other answers 421.
EXPECTED_SERVER = b"Expect-Instance"
LAST_EVENT = b"Last-Event-Id"
# Number of prompt tokens and maximum number of output tokens, separated by a comma.
TOKEN_COUNTS = b"Token-Counts"
# The parts of the prompt as ID:TOKENS, separated by commas; the last belongs to the request alone.
PROMPT_PARTS = b"Prompt-Prefix"
# From 0, the highest priority, to 9, the lowest.
PRIORITY = b"Request-Priority"
# Other servers that prefill parts of the prompt, as HOST:PORT or HOST:PORT/RESERVATION.
HELPERS = b"Helpers"
WEIGHTS_WANTED = b"Expect-Version"
# Present on a response to a request that has not run and never will.
NOT_RUN = b"Not-Run"
# The server's signature, which is passed to the client unchanged.
STAMP = b"Server-Stamp"
# Numbers of running requests, waiting requests and slots.
LOAD = b"Server-Load"
# Requests per second that a server accepts from all VMs together; in effect while its responses
# carry it.
RATE_LIMIT = b"Server-Limit"
# How much longer a server is cold, in milliseconds.
COLD = b"Cold-Ms"
# Present on the responses of a server that is leaving.
LEAVING = b"Server-Leaving"
# On a 421: the server instance that has the address now.
ANSWERED_BY = b"Instance-Id"
# The address of the helper that failed, if it was not the addressed server.
FAULTY_SERVER = b"At-Server"
# Delay before a retry, in seconds, on refusals sent to clients and on those of backend servers.
RETRY_AFTER = b"Retry-After"

# Hop-by-hop headers, which are not forwarded.
HOP_BY_HOP = frozenset(
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
# Request headers that only this system may set; they are removed from client requests.
SYSTEM_ONLY = frozenset(
    name.lower()
    for name in (DEADLINE, API_KEY, CUSTOMER, EXPECTED_SERVER, PRIORITY, HELPERS, WEIGHTS_WANTED)
)
