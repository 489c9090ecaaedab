"""Outlier detection: gateways gossip observations of hosts and eject hosts that fail for several gateways.

See docs/outlier-detection-design.md. No I/O.
"""
