"""Run gateways as processes while faults come from outside them."""
