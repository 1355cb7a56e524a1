"""Transparent proxying on an entry VM: forwards client requests to backend servers."""
