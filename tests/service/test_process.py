"""The whole process from its start to its exit, with servers on loopback that the test starts.

Guards against a process that does not serve, that is changed by an unreadable platform file on SIGHUP, or
that exits on SIGTERM before it has answered the requests that it accepted.
"""

import json
import signal
import socket
import subprocess
import sys
import time
from itertools import count
from socketserver import StreamRequestHandler, ThreadingTCPServer
from threading import Thread

import pytest
from fake_gateway import SETTINGS
from loopback import GATEWAY_ADDRESS

from granitedock.service.resp import encode_bulk_string, encode_command

COMMAND = [sys.executable, "-m", "granitedock"]
REQUEST_IDS = count(1)  # The platform gives each request a new id.
VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


def start_server(answer):
    """Start a server on a free port that answers each command with `answer`, and return its address."""

    class Handler(StreamRequestHandler):
        def handle(self):
            while line := self.rfile.readline():
                if line.startswith(b"GET "):
                    self.wfile.write(answer([]))
                    continue
                if not line.startswith(b"*"):
                    continue
                sizes = (int(self.rfile.readline()[1:]) for _ in range(int(line[1:])))
                self.wfile.write(answer([self.rfile.read(size + 2)[:-2] for size in sizes]))

    server = ThreadingTCPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    Thread(target=server.serve_forever, daemon=True).start()
    return f"127.0.0.1:{server.server_address[1]}"


def host_response(arguments):
    if b"slow" in arguments[-1]:
        time.sleep(0.8)
    return VALUE


def request(body):
    text = b"c=once,t=p,d=3000,k=1,units=1,spread=1,first=0"
    return encode_command(b"API.WRITE", b"00000000000000a1", b"%016x" % next(REQUEST_IDS), text, body)


def platform_file_with_host(host_address):
    """Return a platform file whose discovery lists one host; its counter and discovery are started."""
    entry = {"instanceId": "h", "hostPort": host_address, "lifecycle": "in_service"}
    listing = json.dumps({"generation": 2, "reset": True, "instances": [entry]}).encode() + b"\n"
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(listing), listing)
    with socket.create_server((GATEWAY_ADDRESS, 0)) as free:
        address = free.getsockname()
    return {
        "name": "g0",
        "listen": f"{GATEWAY_ADDRESS}:{address[1]}",
        "discovery": start_server(lambda _: chunked),
        "counter": start_server(lambda _: encode_bulk_string(b"1")),
        "seed": "07",
        "settings": SETTINGS,
    }


def start_gateway(path):
    return subprocess.Popen([*COMMAND, "serve", "--told", str(path)], stderr=subprocess.PIPE)


def connect_when_ready(platform_file):
    """Return a client's socket, and its replies as a file, once the gateway has the endpoint list."""
    host, _, port = platform_file["listen"].rpartition(":")
    for _ in range(100):
        try:
            client = socket.create_connection((host, int(port)), timeout=5)
            break
        except ConnectionRefusedError:
            time.sleep(0.1)
    client.sendall(encode_command(b"PING"))
    replies = client.makefile("rb")
    assert replies.readline() == b"+PONG\r\n"
    return client, replies


def test_a_request_that_a_host_has_not_received_ends_with_the_process_that_sent_it(tmp_path):
    """Guards against a kernel that delivers the request of a gateway that was killed long before."""
    body = 60000 * b"b"
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)  # Far less than the request.
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.settimeout(10)
        platform_file = platform_file_with_host(f"127.0.0.1:{listener.getsockname()[1]}")
        path = tmp_path / "told.json"
        path.write_text(json.dumps(platform_file))
        process = start_gateway(path)
        try:
            client, _ = connect_when_ready(platform_file)
            client.sendall(request(body))
            host = listener.accept()[0]
            host.settimeout(10)
            received = host.recv(1)  # The gateway's kernel takes the whole request in one write.
        finally:
            process.kill()
            process.communicate()
        with pytest.raises(ConnectionResetError):
            while piece := host.recv(1 << 16):
                received += piece
        host.close()
        assert not received.endswith(body + b"\r\n")


def test_the_process_serves_follows_sighup_and_on_sigterm_answers_all_requests_and_exits_with_0(tmp_path):
    platform_file = platform_file_with_host(start_server(host_response))
    path = tmp_path / "told.json"
    path.write_text(json.dumps(platform_file))
    process = start_gateway(path)
    try:
        client, replies = connect_when_ready(platform_file)
        client.sendall(request(b"fast"))
        assert replies.read(len(VALUE)) == VALUE
        counters = subprocess.run(
            [*COMMAND, "counters", platform_file["listen"]], capture_output=True, timeout=10
        )
        assert b"done:1" in counters.stdout.split() and counters.returncode == 0
        calls = []
        other_counter = start_server(lambda arguments: calls.append(arguments) or encode_bulk_string(b"1"))
        for text, requests_left in ("{", 2), (json.dumps(platform_file | {"counter": other_counter}), 50):
            assert not calls  # An unreadable file changes nothing.
            path.write_text(text)
            process.send_signal(signal.SIGHUP)
            while requests_left and not calls:  # The signal may be handled later on a slow machine.
                time.sleep(0.1)
                client.sendall(request(b"fast"))
                assert replies.read(len(VALUE)) == VALUE
                requests_left -= 1
        assert [arguments[0] for arguments in calls] == [b"TALLY"]
        client.sendall(request(b"slow"))
        time.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        assert replies.read(len(VALUE)) == VALUE and replies.read() == b""
        _, lines = process.communicate(timeout=10)
        events = [json.loads(line) for line in lines.splitlines()]
        assert process.returncode == 0
        assert events[-1]["event"] == "counters at exit" and events[-1]["done"] >= 5
    finally:
        process.kill()
        process.wait()


def test_the_service_imports_no_optional_package_and_the_process_none_that_is_disabled():
    optional = ("membership", "quota_sharing", "outlier_detection", "configuration")
    for module in ("granitedock.service.gateway_service", "granitedock.gateway_process"):
        code = f"import sys, {module}\nprint(*(m for m in sys.modules if m.startswith('granitedock.')))"
        loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        names = loaded.stdout.split()
        assert module in names
        assert not [name for name in names if name.split(".")[1] in optional]
