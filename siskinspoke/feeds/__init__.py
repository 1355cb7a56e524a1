"""The clients of control VMs' feeds, used by entry VMs and by other control VMs."""
