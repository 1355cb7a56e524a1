"""Sizes of the kernel's buffers for a connection of a client, and of the queue of new ones.

This module is imported before the rest of the program, and imports nothing.
"""

# Bytes that have arrived and are not read yet, and bytes that are written and not acknowledged.
RECEIVE_BUFFER_BYTES = 32_768
SEND_BUFFER_BYTES = 32_768
# Connections that are not accepted yet.
BACKLOG = 512
