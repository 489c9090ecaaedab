"""Faults that a scenario injects into hosts, and proxies that inject faults into links."""
