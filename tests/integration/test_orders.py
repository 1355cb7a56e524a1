"""Proofs on orders to engines."""

import httpx

from siskinspoke.management.operators import Operator
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.site import DOMAINS

ACCEPT_SECONDS = 6.0


def give(site, name, server, action="load-model", argument="v2"):
    """Give an order through the leader and return the answer."""
    spec = site.specs[server]
    known = next(
        item for item in site.fleet.status("entry-sala-a-1")["servers"] if item["server"] == server
    )
    body = {
        "order": name, "operator": "test", "server": server, "incarnation": known["incarnation"],
        "host": spec.host, "port": spec.port, "fencing": True, "action": action,
        "argument": argument,
    }  # fmt: skip
    with Operator(site.fleet.settings) as operator:
        return operator.ask_leader("/v1/orders", body, ACCEPT_SECONDS).document


def state(site, name):
    """Return the state of an order as the leader knows it."""
    control = site.fleet.settings.control_vm(site.fleet.wait_leader())
    return site.fleet.get(control.host, control.port, f"/v1/orders/{name}")["state"]


def carried_out(site, server):
    """Return the orders that an engine has carried out."""
    return site.server_state(server)["orders"]


class TestOrders:
    """Orders are carried out once, in order, whoever leads."""

    def test_order_survives_its_leader(self, make_site):
        """The leader dies with the order on its way; the operator sends the order again."""
        site = make_site(services=0, engine_flags=("--order_seconds=1",))
        server = "engine-anexo-1"
        first = give(site, "load-1", server)
        site.fleet.kill(site.fleet.leader())
        assert give(site, "load-1", server)["number"] == first["number"]
        wait_until(lambda: state(site, "load-1") == "done", "the order is carried out")
        assert [item["order"] for item in carried_out(site, server)] == ["load-1"]

    def test_engine_refuses_an_older_number(self, make_site):
        """A deposed leader's order arrives after its successor's."""
        site = make_site(services=0)
        server = "engine-sala-a-1"
        number = give(site, "role-1", server, "change-role", "decode")["number"]
        wait_until(lambda: state(site, "role-1") == "done", "done")
        spec = site.specs[server]
        late = {"order": "late", "fence": number - 1, "action": "change-role", "argument": "x"}
        response = httpx.post(
            f"http://{spec.host}:{spec.port}/v1/orders", json=late, trust_env=False
        )
        assert response.status_code == 409
        assert len(carried_out(site, server)) == 1

    def test_loads_do_not_storm_the_weight_store(self, make_site):
        """Six engines are to load at once; never more than two read from the store."""
        site = make_site(
            services=0, engines_per_domain=2, engine_flags=("--order_seconds=0.8",)
        )  # fmt: skip
        servers = [f"engine-{domain}-{n}" for domain in DOMAINS for n in (1, 2)]
        for server in servers:
            give(site, f"load-{server}", server)
        for server in servers:
            wait_until(lambda s=server: state(site, f"load-{s}") == "done", f"{server} loaded")
        began = sorted(carried_out(site, server)[0]["began_ms"] for server in servers)
        assert all(later - earlier >= 750 for earlier, later in zip(began, began[2:], strict=False))
