"""What a gateway of a test cluster can be asked on its clients' port."""

from __future__ import annotations

import socket
from typing import Any

import orjson

from granitedock.lab.cluster.errors import GatewayUnreachableError
from granitedock.lab.cluster.gateway_process import gateway_name
from granitedock.lab.cluster.network import CLIENTS_PORT, LoopbackNetwork
from granitedock.service.resp import encode_command

ANSWER_WITHIN_S = 2.0
LIVE_STATES = ("alive", "suspect")  # in the reply to FLEET


class GatewayQueries:
    """Commands to the gateways of a network."""

    def __init__(self, network: LoopbackNetwork) -> None:
        self.network = network

    def ask(self, gateway: int, *words: bytes, within_s: float = ANSWER_WITHIN_S) -> bytes:
        """One command; returns the first line or the bulk string of the answer. Raises
        GatewayUnreachableError."""
        address = (self.network.gateway_host(gateway), CLIENTS_PORT)
        try:
            with socket.create_connection(address, timeout=within_s) as connection:
                connection.sendall(encode_command(*words))
                with connection.makefile("rb") as answer:
                    head = answer.readline()
                    return answer.read(int(head[1:])) if head[:1] == b"$" else head.rstrip()
        except (OSError, ValueError) as error:
            raise GatewayUnreachableError(gateway_name(gateway), error) from None

    def view(self, gateway: int) -> dict[str, Any]:
        """What a gateway holds of the others (`granitedock fleet --json`)."""
        return orjson.loads(self.ask(gateway, b"FLEET"))

    def host_verdicts(self, gateway: int) -> dict[str, Any]:
        """What a gateway knows of the hosts (`granitedock hosts --json`)."""
        return orjson.loads(self.ask(gateway, b"HOSTS"))

    def member_states(self, gateway: int) -> dict[int, str]:
        """The state of each other gateway in the view of this one, by number; unknown ones are left out."""
        return {row["seat"]: row["state"] for row in self.view(gateway)["members"]}

    def live_members(self, gateway: int) -> set[int]:
        """The gateways that this one holds live, itself among them."""
        states = self.member_states(gateway).items()
        return {gateway} | {number for number, state in states if state in LIVE_STATES}
