"""Usage that gateways admitted without the quota counter, gossiped among them (docs/quota-sharing-design.md).

No I/O.
"""
