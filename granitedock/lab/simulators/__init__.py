"""Simulators of many gateways in one process, on a simulated clock, network and counter."""
