"""Queries to a running gateway over its client port (RESP): one command, one bulk string reply."""

from __future__ import annotations

import socket

import click

from granitedock.errors import GranitedockError


class GatewayQueryError(GranitedockError, click.ClickException):
    """A gateway can't be reached, does not answer in time, or its reply is not a bulk string.

    The text names the gateway's address. A command that raises this error prints the text and exits with 1.
    """

    def __init__(self, text: str) -> None:
        click.ClickException.__init__(self, text)


def query_gateway(address: str, command: bytes, timeout_s: float) -> bytes:
    """Send one RESP command without arguments to the gateway at HOST:PORT and return its bulk string reply.

    `timeout_s` limits the connect and each read. Raises GatewayQueryError if the gateway can't be reached, an
    operation times out or the reply is not a bulk string.
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
    text = f"{address}: expected a RESP bulk string reply, got {header.strip().decode('latin-1')!r}"
    raise GatewayQueryError(text)
