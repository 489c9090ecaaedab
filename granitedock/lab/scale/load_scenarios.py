"""Scenario files for the measurements under load: hosts with a fixed service time, and their clients."""

from __future__ import annotations

from granitedock.lab.scenario import Scenario, parse

MAX_ZONE_HOSTS = 500  # The most hosts that a scenario can have in one zone.
SERVICE_MS = 2.0
CUSTOMERS = 40


def zone_lines(hosts: int) -> list[str]:
    """Return the lines of a scenario file for `hosts` hosts, divided into zones."""
    lines = []
    for zone, first in enumerate(range(0, hosts, MAX_ZONE_HOSTS)):
        lines.append(f'[[fleet.zones]]\nname = "z{zone}"\nhosts = {min(MAX_ZONE_HOSTS, hosts - first)}')
        lines.append(f'service = {{ kind = "fixed", mean_ms = {SERVICE_MS} }}')
    return lines


def load_scenario(hosts: int, rate: float, gateways: int, seconds: float) -> Scenario:
    """Return a scenario of `hosts` hosts and customers that together send `rate` requests per second.

    The customers' plan rejects no request.
    """
    lines = [f"length_s = {seconds}\n[fleet]\ngateways = {gateways}"]
    lines.append('[[plans]]\nname = "p"\nrate = 1000000\nburst = 1000000')
    lines += zone_lines(hosts)
    for customer in range(CUSTOMERS):
        lines.append(f'[[clients]]\ncustomer = {customer}\nproduct = "read"\nplan = "p"')
        lines.append(f"rate = {rate / CUSTOMERS}\nspread = {gateways}")
    return parse("\n".join(lines))


def emulator_scenario_text(hosts: int) -> str:
    """Return the scenario file with the same hosts for the emulator processes."""
    client = '[[clients]]\ncustomer = 1\nproduct = "read"\nplan = "p"\nrate = 1'
    return "\n".join(["[fleet]\ngateways = 1", *zone_lines(hosts), client])
