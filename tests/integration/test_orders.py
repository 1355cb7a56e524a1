"""Operator orders to engines."""

import httpx

from siskinspoke.management.operators import OperatorClient
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.site import DOMAINS

ACCEPT_SECONDS = 6.0


def submit_order(site, name, server, action="load-model", argument="v2"):
    """Submit an order to the leader and return its answer."""
    spec = site.specs[server]
    record = next(
        item for item in site.fleet.status("entry-sala-a-1")["servers"] if item["server"] == server
    )
    body = {
        "order": name, "operator": "test", "server": server, "incarnation": record["incarnation"],
        "host": spec.host, "port": spec.port, "fencing": True, "action": action,
        "argument": argument,
    }  # fmt: skip
    with OperatorClient(site.fleet.settings) as operator:
        return operator.post_to_leader("/v1/orders", body, ACCEPT_SECONDS).document


def order_state(site, name):
    """Return the state of an order on the leader."""
    control = site.fleet.settings.control_vm(site.fleet.wait_leader())
    return site.fleet.get(control.host, control.port, f"/v1/orders/{name}")["state"]


def carried_out(site, server):
    """Return the orders that an engine has executed."""
    return site.server_state(server)["orders"]


class TestOrders:
    """Orders are executed once and in sequence across leader changes."""

    def test_order_survives_leader_crash(self, make_site):
        """The leader crashes while an order is in progress; the operator resends the order."""
        site = make_site(services=0, engine_flags=("--order_seconds=1",))
        server = "engine-anexo-1"
        first = submit_order(site, "load-1", server)
        site.fleet.kill(site.fleet.leader())
        assert submit_order(site, "load-1", server)["number"] == first["number"]
        wait_until(lambda: order_state(site, "load-1") == "done", "order completed")
        assert [item["order"] for item in carried_out(site, server)] == ["load-1"]

    def test_engine_refuses_older_fencing_number(self, make_site):
        """An order of a deposed leader that arrives after its successor's is rejected."""
        site = make_site(services=0)
        server = "engine-sala-a-1"
        number = submit_order(site, "role-1", server, "change-role", "decode")["number"]
        wait_until(lambda: order_state(site, "role-1") == "done", "order completed")
        spec = site.specs[server]
        late = {"order": "late", "fence": number - 1, "action": "change-role", "argument": "x"}
        response = httpx.post(
            f"http://{spec.host}:{spec.port}/v1/orders", json=late, trust_env=False
        )
        assert response.status_code == 409
        assert len(carried_out(site, server)) == 1

    def test_concurrent_weight_loads_are_limited(self, make_site):
        """Of six engines ordered to load, at most two read from the weight store at a time."""
        site = make_site(
            services=0, engines_per_domain=2, engine_flags=("--order_seconds=0.8",)
        )  # fmt: skip
        servers = [f"engine-{domain}-{n}" for domain in DOMAINS for n in (1, 2)]
        for server in servers:
            submit_order(site, f"load-{server}", server)
        for server in servers:
            wait_until(
                lambda s=server: order_state(site, f"load-{s}") == "done", f"{server} loaded"
            )
        start_times_ms = sorted(carried_out(site, server)[0]["began_ms"] for server in servers)
        assert all(
            later - earlier >= 750
            for earlier, later in zip(start_times_ms, start_times_ms[2:], strict=False)
        )
