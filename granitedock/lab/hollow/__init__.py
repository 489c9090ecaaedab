"""Hollow gateways: the real state machines over real loopback sockets, with no clients, many to a process.

Each has the state machine with its watch on discovery, membership where a loopback net is given, and follows
the configuration where control addresses are given. What a client, a host or the counter would bring is left
out, so that hundreds of gateways fit one machine and what controlling them costs can be measured.
"""
