"""Reads RESP commands from bytes, as a host or a gateway receives them."""

from granitedock.lab.resp_connection import RespConnection


class CommandReader(RespConnection):
    """Keeps each command that `dataReceived` completes in `commands`; has no transport.

    `malformed_reason` says why the input is not valid; it is empty while it is.
    """

    def __init__(self):
        super().__init__()
        self.disconnecting = False
        self.makeConnection(self)
        self.commands, self.malformed_reason = [], ""

    def value_received(self, value, parts):
        self.commands.append(value)

    def malformed(self, reason):
        self.malformed_reason = reason
