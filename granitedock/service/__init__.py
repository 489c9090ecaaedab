"""The gateway's network service: sockets, timers and state machines around the request policy."""
