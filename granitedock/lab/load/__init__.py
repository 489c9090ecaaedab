"""Open-loop load on gateways, and the checks of the platform's rules on what came of it."""
