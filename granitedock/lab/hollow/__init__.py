"""Hollow gateways: real state machines on real loopback sockets, without clients, many per process.

Each runs the state machine with its watch on discovery, membership if a loopback net is given, and follows
the configuration if control addresses are given. Inputs from clients, hosts and the counter are left out, so
that hundreds of gateways fit on one machine and the cost of controlling them can be measured.
"""
