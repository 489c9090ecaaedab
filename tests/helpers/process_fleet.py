"""The scenario that tests with fleets of real gateway processes share, and their time limit."""

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
WITHIN_S = 10.0  # the stated time in which the live ones agree again (docs/membership.md), under load


def world(count, *replace):
    text = (WORLD % count).replace("spread = 4", f"spread = {min(4, count)}")
    return parse(text.replace(*replace) if replace else text)
