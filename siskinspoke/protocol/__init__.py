"""Messages between processes, their codec and their authentication."""

from siskinspoke.protocol.codec import decode_message, encode_message, message
from siskinspoke.protocol.seal import open_sealed, seal, unseal

__all__ = ["decode_message", "encode_message", "message", "open_sealed", "seal", "unseal"]
