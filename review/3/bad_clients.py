"""Bad clients, in a process of their own: PORT CLIENTS COMMANDS SECONDS SEED.

Each sends its commands at once, on one connection, reads whatever is sent to it until each command has its
reply or the connection has ended, and does the same again as soon as it has been turned away. The commands
are whole and well formed. Prints one JSON line: bursts sent, commands answered, connections ended early.
"""

import json
import random
import selectors
import socket
import sys
import time

port, clients, commands, seconds, seed = (int(word) for word in sys.argv[1:6])
chance = random.Random(seed)


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def burst():
    """Well-formed requests of customers that are seen once."""
    return b"".join(
        command(b"API.READ", b"%016x" % chance.randrange(1 << 20, 1 << 33), b"%016x" % chance.getrandbits(52),
                b"c=consulta-registro,t=ampliado,d=2500,units=1,spread=2,first=0") for _ in range(commands))


class Client:
    def __init__(self, bursts):
        self.bursts = bursts
        self.socket = None

    def begin(self, selector):
        if not self.bursts:
            return
        self.unsent = memoryview(self.bursts.pop())
        self.replies = 0
        self.tail = b""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))
        selector.register(self.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def count(self, data):
        """Count the replies: error lines, and served values, of which each is an array of three."""
        self.tail += data
        *whole, self.tail = self.tail.split(b"\r\n")
        self.replies += sum(line[:1] == b"-" or line == b"*3" for line in whole)

    def end(self, selector):
        selector.unregister(self.socket)
        self.socket.close()
        self.socket = None


everyone = [Client([burst() for _ in range(6 * seconds)]) for _ in range(clients)]
print("ready", flush=True)
sys.stdin.readline()  # Begin together.
selector = selectors.DefaultSelector()
until = time.time() + seconds
sent = answered = ended = 0
for client in everyone:
    client.begin(selector)
    sent += 1
while selector.get_map() and time.time() < until + 20:
    for key, events in selector.select(0.2):
        client = key.data
        try:
            if events & selectors.EVENT_WRITE and client.unsent:
                client.unsent = client.unsent[client.socket.send(client.unsent[:65536]):]
                if not client.unsent:
                    selector.modify(client.socket, selectors.EVENT_READ, client)
            if events & selectors.EVENT_READ:
                data = client.socket.recv(65536)
                client.count(data)
                if data and client.replies < commands:
                    continue
                ended += client.replies < commands
                answered += client.replies
                client.end(selector)
                if time.time() < until:
                    client.begin(selector)
                    sent += client.socket is not None
        except BlockingIOError:
            continue
        except OSError:
            ended += 1
            answered += client.replies
            client.end(selector)
print(json.dumps({"bursts": sent, "commands answered": answered, "connections ended early": ended}), flush=True)
