"""What gateways know of hosts, told to each other and weighed (docs/judgement-design.md). No I/O."""
