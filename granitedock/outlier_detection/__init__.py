"""Outlier detection: gateways gossip what they observe of hosts and eject those that fail for several.

See docs/outlier-detection-design.md. No I/O.
"""
