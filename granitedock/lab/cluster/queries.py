"""Queries to the gateways of a test cluster on their clients' port."""

from __future__ import annotations

import socket
from typing import Any

import orjson

from granitedock.lab.cluster.errors import GatewayUnreachableError
from granitedock.lab.cluster.gateway_process import gateway_name
from granitedock.lab.cluster.network import CLIENTS_PORT, LoopbackNetwork
from granitedock.service.resp import encode_command

REPLY_TIMEOUT_S = 2.0
LIVE_STATES = ("alive", "suspect")  # in the reply to FLEET


class GatewayQueries:
    """Sends commands to the gateways of a network and decodes the replies."""

    def __init__(self, network: LoopbackNetwork) -> None:
        self.network = network

    def ask(self, gateway: int, *words: bytes, within_s: float = REPLY_TIMEOUT_S) -> bytes:
        """Send one command and return the first line, or the bulk string, of the reply.

        Raises GatewayUnreachableError.
        """
        address = (self.network.gateway_host(gateway), CLIENTS_PORT)
        try:
            with socket.create_connection(address, timeout=within_s) as connection:
                connection.sendall(encode_command(*words))
                with connection.makefile("rb") as reply:
                    head = reply.readline()
                    return reply.read(int(head[1:])) if head[:1] == b"$" else head.rstrip()
        except (OSError, ValueError) as error:
            raise GatewayUnreachableError(gateway_name(gateway), error) from None

    def view(self, gateway: int) -> dict[str, Any]:
        """Return a gateway's view of the membership (`granitedock fleet --json`)."""
        return orjson.loads(self.ask(gateway, b"FLEET"))

    def host_verdicts(self, gateway: int) -> dict[str, Any]:
        """Return a gateway's verdicts on the hosts (`granitedock hosts --json`)."""
        return orjson.loads(self.ask(gateway, b"HOSTS"))

    def member_states(self, gateway: int) -> dict[int, str]:
        """Return the state of each other gateway that this one's view contains, by number."""
        return {row["seat"]: row["state"] for row in self.view(gateway)["members"]}

    def live_members(self, gateway: int) -> set[int]:
        """Return the gateways that this one sees as live, including itself."""
        states = self.member_states(gateway).items()
        return {gateway} | {number for number, state in states if state in LIVE_STATES}
