"""Reject heads of answers with folded lines, which h11 joins to the field before.

A line that begins with a blank may have been meant as a field of its own, such as the length of the
body.  RFC 9112, section 5.2, lets a gateway answer 502 instead of joining such lines.
"""

import re

import h11

# The end of a head, as h11 finds it.
_HEAD_END = re.compile(rb"\n\r?\n")
_MAX_END_BYTES = 3
_FOLDED_LINE = re.compile(rb"\n[ \t]")
_INTERIM_STATUS = re.compile(rb"HTTP/[0-9]\.[0-9] 1[0-9][0-9]")


class HeadCheck:
    """Checks the heads of one answer, interim ones included, as their bytes arrive."""

    def __init__(self) -> None:
        self._received = bytearray()
        self._is_complete = False

    def feed(self, data: bytes) -> None:
        """Add bytes of the answer; raise h11.RemoteProtocolError for a folded line.

        Bytes after the last head are ignored.
        """
        if self._is_complete:
            return
        start, searched = 0, max(0, len(self._received) - _MAX_END_BYTES + 1)
        self._received += data
        while (end := _HEAD_END.search(self._received, searched)) is not None:
            if _FOLDED_LINE.search(self._received, start, end.end()) is not None:
                raise h11.RemoteProtocolError("folded line in a head")
            if _INTERIM_STATUS.match(self._received, start) is None:
                self._is_complete = True
                self._received.clear()
                return
            start = searched = end.end()
        del self._received[:start]
