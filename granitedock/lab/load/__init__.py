"""Open-loop load on gateways, and checks of the platform's rules on the outcome."""
