"""A view of the fleet kept by the gateways themselves (docs/fleet-design.md). Only `carrier` does I/O."""
