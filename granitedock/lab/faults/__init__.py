"""Faults that a scenario puts on hosts, and proxies that put them on the links between processes."""
