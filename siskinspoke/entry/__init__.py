"""The daemon on every entry VM: it takes callers' requests and answers for them."""
