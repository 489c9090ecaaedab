"""The gateway on sockets, round the decisions."""
