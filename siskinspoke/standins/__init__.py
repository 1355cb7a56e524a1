"""Small stand-ins for the outside systems: model engines, plain services, the balancer."""
