"""Scale measurements: what a gateway and its parties cost per host, plan, gateway, request and change."""
