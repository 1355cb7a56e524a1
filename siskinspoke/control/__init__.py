"""Control VMs: replicated state that is durable on disk, and the feed to entry VMs."""
