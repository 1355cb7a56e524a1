"""Run a stand-in model engine, for demonstrations and tests."""

import trio
from absl import flags

from siskinspoke.management.standins import announce_addresses, identity, read_key
from siskinspoke.standins.engine_model import EngineParameters
from siskinspoke.standins.engine_server import EngineServer, engine_app
from siskinspoke.standins.runner import run_standin

FLAGS = flags.FLAGS

flags.DEFINE_integer("memory_tokens", 400_000, "KV memory of the engine, in tokens.")
flags.DEFINE_float("prefill_ms_per_token", 0.02, "Prefill time per token.")
flags.DEFINE_float("step_base_ms", 6.0, "Duration of an empty step.")
flags.DEFINE_float("decode_ms_per_sequence", 0.1, "Decode time per sequence in a step.")
flags.DEFINE_integer("chunk_tokens", 1_024, "Maximum number of tokens per step.")
flags.DEFINE_float("order_seconds", 0.0, "Duration of an order.")
flags.DEFINE_float("slow", 1.0, "Slowdown factor relative to the other parameters.")
flags.DEFINE_string("deadly_text", "", "Prompt text that crashes the engine at the first token.")


def handle(_arguments: list[str]) -> int:
    """Run the engine until SIGTERM."""
    parameters = EngineParameters(
        FLAGS.memory_tokens,
        FLAGS.step_base_ms,
        FLAGS.prefill_ms_per_token,
        FLAGS.decode_ms_per_sequence,
        FLAGS.chunk_tokens,
    )
    engine_identity = identity()
    server = EngineServer(engine_identity, parameters, FLAGS.slow, FLAGS.deadly_text)
    server.order_seconds = FLAGS.order_seconds
    app = engine_app(server)
    trio.run(
        run_standin,
        app,
        engine_identity,
        announce_addresses(),
        read_key(),
        server.make_announcement,
        server.run,
    )
    return 0
