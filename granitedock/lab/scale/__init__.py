"""Scale measurements: what a gateway and its peers cost per host, plan, gateway, request and change."""
