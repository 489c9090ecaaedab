"""A query to a running gateway over its own client port (RESP): one command, one bulk string in reply."""

from __future__ import annotations

import socket

import click

from granitedock.errors import GranitedockError


class GatewayQueryError(GranitedockError, click.ClickException):
    """A gateway that can't be reached in time, or replies with something else. The text names its address.

    A command that meets it prints the text and exits with 1.
    """

    def __init__(self, text: str) -> None:
        click.ClickException.__init__(self, text)


def query_gateway(address: str, command: bytes, timeout_s: float) -> bytes:
    """Send one RESP command without arguments to the gateway at HOST:PORT and return its bulk string reply.

    Raises GatewayQueryError.
    """
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host.strip("[]"), int(port)), timeout=timeout_s) as connection:
            connection.sendall(b"*1\r\n$%d\r\n%b\r\n" % (len(command), command))
            with connection.makefile("rb") as reply:
                header = reply.readline()
                if header.startswith(b"$"):
                    return reply.read(int(header[1:]))
    except (OSError, ValueError) as error:
        text = f"{address}: {error}"
        raise GatewayQueryError(text) from None
    text = f"{address} answers {header.strip().decode('latin-1')!r}"
    raise GatewayQueryError(text)
