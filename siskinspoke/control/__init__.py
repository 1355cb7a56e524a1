"""The control replica: durable, replicated state in few processes on VMs with a disk."""
