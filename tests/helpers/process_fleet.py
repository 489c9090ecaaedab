"""The scenario shared by the tests with fleets of real gateway processes, and their time limit.

It has one zone of four hosts that take 5 ms per request, and one customer that sends four times its plan's
rate.
"""

from granitedock.lab.scenario import parse

WORLD = """
seed = 3
length_s = 60
[fleet]
gateways = %d
talk = true
view = true
[[plans]]
rate = 40
burst = 40
[[fleet.zones]]
name = "east"
hosts = 4
service = { kind = "fixed", mean_ms = 5 }
[[clients]]
customer = 161
product = "read"
plan = "p"
rate = 160
spread = 4
left_ms = 800
"""
# The documented time (docs/membership.md) in which the live gateways agree after a change, under load.
WITHIN_S = 10.0


def world(count, *replace):
    """Return the scenario with `count` gateways; `replace`, (old, new), changes its text first."""
    text = (WORLD % count).replace("spread = 4", f"spread = {min(4, count)}")
    return parse(text.replace(*replace) if replace else text)
