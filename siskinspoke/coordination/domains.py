"""Whether whole failure domains are cut off from this VM, by its own connections.

Without this each request would try the servers of a cut-off domain one after the other, each
for the time that a connection may take, and find out anew what the last one has found.
"""

from dataclasses import dataclass, field

# So many different servers of a domain out of reach, and none reached since, mean a cut.
SERVERS_FOR_A_CUT = 2
# Failures are compared within this time: about ten connection timeouts.  Milliseconds.
WINDOW_MS = 2_500.0
# A cut is believed for this long after the last failure; probes renew or end the belief.
BELIEF_MS = 3_000.0


@dataclass(slots=True)
class _Domain:
    failed: dict[str, float] = field(default_factory=dict)
    cut_since: float | None = None


class Domains:
    """Remember who could not be reached, by failure domain; times are in milliseconds.

    VMs of one domain tell each other what they believe: with 23 of them, and a second between
    two requests of each, every VM found out by two requests of its own, 0.2 s late each.
    """

    def __init__(self) -> None:
        self._domains: dict[str, _Domain] = {}

    def reached(self, domain: str) -> bool:
        """Note a connection to a server of a domain; return whether that ends a cut."""
        known = self._domains.pop(domain, None)
        return known is not None and known.cut_since is not None

    def unreached(self, domain: str, server: str, now: float) -> bool:
        """Note a connection that did not come about; return whether that shows a new cut."""
        known = self._domains.setdefault(domain, _Domain())
        known.failed[server] = now
        recent = [name for name, at in known.failed.items() if now - at < WINDOW_MS]
        if known.cut_since is not None or len(recent) < SERVERS_FOR_A_CUT:
            return False
        known.cut_since = now
        return True

    def told(self, domain: str, vm: str, now: float) -> bool:
        """Note that another VM of this one's domain believes in a cut; return whether it is new.

        One VM's word is worth as much as one server that could not be reached: that VM alone may
        be cut off.
        """
        return self.unreached(domain, f"told by {vm}", now)

    def refused(self, domain: str, now: float) -> bool:
        """Note that several servers of a domain refuse together; return whether the cut is new."""
        known = self._domains.setdefault(domain, _Domain())
        known.failed["refused"] = now
        if known.cut_since is not None:
            return False
        known.cut_since = now
        return True

    def is_cut(self, domain: str, now: float) -> bool:
        """Tell whether a domain is believed to be out of reach."""
        known = self._domains.get(domain)
        if known is None or known.cut_since is None:
            return False
        return now - max(known.failed.values()) < BELIEF_MS

    def cut_now(self, now: float) -> list[str]:
        """Return the domains that are believed to be out of reach."""
        return [name for name in self._domains if self.is_cut(name, now)]
