"""The smallest scenario from which a gateway's settings can be generated."""

MINIMAL_SCENARIO = """
[fleet]
gateways = 2
talk = true
[[fleet.zones]]
name = "east"
hosts = 1
[[clients]]
customer = 1
product = "read"
plan = "p"
rate = 1
"""
