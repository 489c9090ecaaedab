"""What gateways let in uncounted, told to each other (docs/shared-design.md). No I/O."""
