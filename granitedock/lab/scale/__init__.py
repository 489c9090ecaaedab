"""Scale measurements: the cost of a gateway and its peers per host, plan, gateway, request and change."""
