"""Who is passed over for a request, and until when."""

from siskinspoke.bench.slopes import announcement
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.left_out import PUT_OFF_MS, LeftOut


class TestLeftOut:
    """A failure counts until the server starts anew, fullness and silence for a while."""

    def test_failed_until_it_starts_anew(self):
        directory = Directory(3_000)
        said = announcement(1, 1, "sala-a")
        directory.hear(said, 0.0)
        left_out = LeftOut()
        left_out.fail((said.server, said.incarnation))
        assert left_out.names(directory, 1e9) == {said.server}
        directory.hear(said._replace(incarnation=said.incarnation + 1), 1.0)
        assert left_out.names(directory, 2.0) == set()

    def test_put_off_for_a_while(self):
        left_out = LeftOut()
        left_out.put_off("one", 10.0)
        assert left_out.names(Directory(3_000), 9.0 + PUT_OFF_MS) == {"one"}
        assert left_out.names(Directory(3_000), 10.0 + PUT_OFF_MS) == set()
