"""Client connections whose descriptors say nothing about them, as under a library that redirects sockets.

Such a library carries the connections of a process elsewhere: reads, writes and polls work, but what the
kernel knows of the descriptor itself is the state of a socket that the library left there.
"""

import os
import socket

from granitedock.service.socket_queue import NO_LINGER

# What may stand in the place of the descriptor.
UNCONNECTED = "unconnected"  # A TCP socket that was never connected; its state is CLOSE.
DATAGRAM = "datagram"  # A socket without a TCP state.
ESTABLISHED = "established"  # A TCP connection that stays open, whatever becomes of the client's.
RESET = "reset"  # A TCP connection that its peer has reset.


class RedirectedSocket(socket.socket):
    """A connection that carries data as usual, with the options of another socket."""

    descriptor = None
    others = ()  # Sockets that have to stay open with it.
    read_error = 0  # Fails the reads that do not wait, unless 0.

    def recv(self, max_bytes, flags=0):
        if self.read_error and flags & socket.MSG_DONTWAIT:
            raise OSError(self.read_error, os.strerror(self.read_error))
        return super().recv(max_bytes, flags)

    def getsockopt(self, *arguments):
        return self.descriptor.getsockopt(*arguments)


def redirect(connection, kind):
    """Have a socket of this kind stand in the place of the connection's descriptor."""
    connection.others = ()
    if kind == UNCONNECTED:
        connection.descriptor = socket.socket()
    elif kind == DATAGRAM:
        connection.descriptor = socket.socket(type=socket.SOCK_DGRAM)
    elif kind in (ESTABLISHED, RESET):
        listener = socket.create_server(("127.0.0.1", 0))
        peer = socket.create_connection(listener.getsockname())
        connection.descriptor = listener.accept()[0]
        connection.others = (listener, peer)
        if kind == RESET:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            peer.close()
    else:
        raise ValueError(kind)


def redirect_clients(gateway, kind):
    """Redirect all client connections that this gateway accepts from now on."""

    class RedirectingListener(socket.socket):
        def accept(self):
            accepted, address = super().accept()
            redirected = RedirectedSocket(fileno=accepted.detach())
            redirect(redirected, kind)
            return redirected, address

    port = gateway.service.effects.port
    port.socket = RedirectingListener(fileno=port.socket.detach())
    port.socket.setblocking(False)
    port.fileno = port.socket.fileno
