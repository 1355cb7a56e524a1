"""Tests of codec, seals, the assembly of answers and prefix hashes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinspoke.bench.slopes import announcement
from siskinspoke.protocol import decode_message, encode_message, open_sealed, seal
from siskinspoke.protocol.assembly import Assembler, Complete, Gap, Ignored, Piece
from siskinspoke.protocol.engine import Chunk
from siskinspoke.protocol.prefix import BLOCK_TOKENS, CHARACTERS_PER_TOKEN, prefix_hashes

KEY = b"k" * 32


class TestCodec:
    """Messages survive a round trip; invalid data is refused."""

    def test_round_trip(self):
        item = announcement(3, 4, "sala-a")
        assert decode_message(encode_message(item)).ok == item

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_refused(self, data):
        assert decode_message(data).is_error()


class TestSeal:
    """Messages with another key or damaged bytes are refused."""

    def test_wrong_key_and_damage(self):
        sealed = seal(KEY, b"body")
        assert open_sealed(KEY, sealed).ok == b"body"
        assert open_sealed(b"x" * 32, sealed).is_error()
        assert open_sealed(KEY, sealed[:-1] + b"Y").is_error()
        assert open_sealed(KEY, b"").is_error()


def chunks(request="r", attempt=1, incarnation=7, count=6):
    """Return the chunks of a complete answer, one token each."""
    texts = [Chunk(request, attempt, incarnation, n, 1, f"{n} ", False) for n in range(count)]
    return [*texts, Chunk(request, attempt, incarnation, count, 0, "", True)]


class TestAssembler:
    """A caller receives its own complete answer or an error."""

    def test_in_order(self):
        assembler = Assembler("r", 1, 7, 0)
        steps = [assembler.feed(chunk) for chunk in chunks()]
        assert "".join(s.text for s in steps if isinstance(s, Piece)) == "0 1 2 3 4 5 "
        assert steps[-1] == Complete(6)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.data())
    def test_mixed_chunks_give_a_prefix_or_the_whole(self, data):
        """Chunks of an abandoned attempt, a restarted engine and another request are mixed in."""
        own = chunks()
        foreign = chunks(attempt=2) + chunks(incarnation=8) + chunks(request="q")
        extra = data.draw(st.lists(st.sampled_from(own + foreign), max_size=12))
        mixed = list(own)
        for chunk in extra:
            mixed.insert(data.draw(st.integers(0, len(mixed))), chunk)
        assembler, text = Assembler("r", 1, 7, 0), ""
        for chunk in mixed:
            match assembler.feed(chunk):
                case Piece(text=piece):
                    text += piece
                case Complete():
                    assert text == "0 1 2 3 4 5 "
                    return
                case Gap():
                    assert "0 1 2 3 4 5 ".startswith(text)
                    return
                case Ignored():
                    pass

    def test_missing_chunk_is_a_gap(self):
        assembler = Assembler("r", 1, 7, 0)
        assembler.feed(chunks()[0])
        assert assembler.feed(chunks()[2]) == Gap(1, 2)


class TestPrefixes:
    """Equal hashes mean equal prefixes."""

    def test_hashes_depend_on_the_whole_prefix(self):
        block = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
        first = prefix_hashes("a" * block + "b" * block)
        second = prefix_hashes("c" * block + "b" * block)
        assert len(first) == len(second) == 2
        assert not set(first) & set(second)
        assert prefix_hashes("a" * block + "x" * (block - 1)) == first[:1]
