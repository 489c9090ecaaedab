"""The scenario of the tests with fleets of real gateway processes, and their time limit for agreement.

The scenario has one zone of four hosts that take 5 ms per request, and one customer that sends four times its
plan's rate.
"""

from granitedock.lab.scenario import parse

SCENARIO = """
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
# The documented time (docs/membership.md) within which the live gateways agree after a change, under load.
AGREEMENT_LIMIT_S = 10.0


def fleet_scenario(count, *replace):
    """Return the scenario with `count` gateways.

    `replace` is empty, or a part of the scenario's text and the text that replaces it.
    """
    text = (SCENARIO % count).replace("spread = 4", f"spread = {min(4, count)}")
    return parse(text.replace(*replace) if replace else text)
