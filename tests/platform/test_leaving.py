"""Backend servers whose answers say that they are leaving."""

import pytest
import trio

from tests.platform.site import gateway_site, servers
from tests.platform.standin_server import Events, Whole
from tests.platform.test_back_off import client_request_count, send_requests
from tests.platform.test_streams import PROMPT


class TestLeaving:
    """A server that answered that it is leaving gets nothing new from the VM it told."""

    @pytest.mark.parametrize(
        ("service", "path", "more", "sound"),
        [("plain", "/again/x", {}, Whole()), ("engines", "/stream/x", PROMPT, Events())],
    )
    def test_without_announcement(self, service, path, more, sound, tmp_path):
        """A VM without a control VM kept sending to a server that answered that it was leaving."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, service, [sound], [sound]) as (one, _),
            ):
                one.leaving = True
                while not client_request_count(one):
                    await site.ask(path, **more)
                before = client_request_count(one)
                site.announce(one, service, seq=9)
                answers = await send_requests(site, path, 2.6, **more)
                assert all(answer.status == 200 for answer in answers)
                assert client_request_count(one) == before

        trio.run(run)
