"""One story of the whole process, against stand-ins on loopback that it starts itself."""

import json
import signal
import socket
import subprocess
import sys
import time
from socketserver import StreamRequestHandler, ThreadingTCPServer
from threading import Thread

from fake_gateway import BORN

from granitedock.service.resp import encode_bulk_string, encode_command

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


def stand_in(answer):
    """A server on a free port that answers each command."""

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


def host(words):
    if b"slow" in words[-1]:
        time.sleep(0.8)
    return VALUE


def request(body):
    text = b"c=once,t=p,d=3000,k=1,units=1,spread=1,first=0"
    return encode_command(b"API.WRITE", b"00000000000000a1", b"0123456789abcdef", text, body)


def test_the_process_serves_moves_on_sighup_and_a_sigterm_answers_what_it_took_and_exits_with_0(tmp_path):
    entry = {"instanceId": "h", "hostPort": stand_in(host), "lifecycle": "in_service"}
    listing = json.dumps({"generation": 2, "reset": True, "instances": [entry]}).encode() + b"\n"
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(listing), listing)
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    told = {
        "name": "g0",
        "listen": f"127.0.0.1:{address[1]}",
        "discovery": stand_in(lambda _: chunked),
        "counter": stand_in(lambda _: encode_bulk_string(b"1")),
        "seed": "07",
        "settings": BORN,
    }
    path = tmp_path / "told.json"
    path.write_text(json.dumps(told))
    run = [sys.executable, "-m", "granitedock"]
    process = subprocess.Popen([*run, "serve", "--told", str(path)], stderr=subprocess.PIPE)
    try:
        for _ in range(100):
            try:
                client = socket.create_connection(address, timeout=5)
                break
            except ConnectionRefusedError:
                time.sleep(0.1)
        client.sendall(encode_command(b"PING"))
        said = client.makefile("rb")
        assert said.readline() == b"+PONG\r\n"  # discovery has spoken, so there is a host
        client.sendall(request(b"fast"))
        assert said.read(len(VALUE)) == VALUE
        counters = subprocess.run([*run, "counters", told["listen"]], capture_output=True, timeout=10)
        assert b"done:1" in counters.stdout.split() and counters.returncode == 0
        calls = []
        elsewhere = stand_in(lambda words: calls.append(words) or encode_bulk_string(b"1"))
        for text, most in ("{", 2), (json.dumps(told | {"counter": elsewhere}), 50):
            assert not calls  # a file that can't be read changes nothing
            path.write_text(text)
            process.send_signal(signal.SIGHUP)
            while most and not calls:  # a slow machine hears the signal later
                time.sleep(0.1)
                client.sendall(request(b"fast"))
                assert said.read(len(VALUE)) == VALUE
                most -= 1
        assert [words[0] for words in calls] == [b"TALLY"]
        client.sendall(request(b"slow"))
        time.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        assert said.read(len(VALUE)) == VALUE and said.read() == b""
        _, lines = process.communicate(timeout=10)
        events = [json.loads(line) for line in lines.splitlines()]
        assert process.returncode == 0
        assert events[-1]["event"] == "counters at exit" and events[-1]["done"] >= 5
    finally:
        process.kill()
        process.wait()


def test_the_service_imports_none_of_the_optional_parts_and_the_process_none_that_is_off():
    parts = ("membership", "quota_sharing", "outlier_detection", "configuration")
    for module in ("granitedock.service.gateway_service", "granitedock.gateway_process"):
        code = f"import sys, {module}\nprint(*(m for m in sys.modules if m.startswith('granitedock.')))"
        loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        names = loaded.stdout.split()
        assert module in names
        assert not [name for name in names if name.split(".")[1] in parts]
