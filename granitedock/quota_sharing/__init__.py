"""Quota sharing: gateways gossip the usage that they admitted without the counter.

See docs/quota-sharing-design.md. No I/O.
"""
