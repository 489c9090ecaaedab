"""The operators' own file and the figures for Prometheus, with real gateways."""

import signal
import subprocess
import sys
import time
import urllib.request

from process_fleet import world

from granitedock.lab.cluster.cluster import GatewayCluster

GRANITEDOCK = [sys.executable, "-m", "granitedock"]


def said(rig, n, event):
    return [line for line in rig.gateways[n].events() if line["event"] == event]


def heard(rig, n, event, count):
    ends = time.monotonic() + 5
    while time.monotonic() < ends and len(said(rig, n, event)) < count:
        time.sleep(0.05)
    return said(rig, n, event)


def test_a_good_file_acts_and_a_bad_one_is_refused_by_line_and_changes_nothing(tmp_path):
    file = tmp_path / "gateway.toml"
    file.write_text("[log]\nlines_a_second = 7\n[limits]\nrest_ms = 4000\n")
    with GatewayCluster(world(1, "view = true", "view = false"), tmp_path) as rig:
        rig.wait_until_ready()
        rig.kill(0)
        rig.gateways[0].options += ["--config", str(file)]
        rig.start(0)
        rig.wait_until_ready()
        platform_file = str(rig.gateways[0].platform_path())
        command = [*GRANITEDOCK, "check", "--told", platform_file, "--config", str(file)]
        shown = subprocess.run(command, capture_output=True, text=True, timeout=20)
        assert '"log_lines": 7' in shown.stdout and '"rest_ms": 4000.0' in shown.stdout
        faults = (
            ("[log]\nlines_a_second = 0\n", ":2: log.lines_a_second: "),
            ("[limits]\nrest_ms = 10\n", ":2: limits.rest_ms: "),
            ("[limits]\nredial_ms = 900\nwatch_most_ms = 100\n", ":3: limits.watch_most_ms: less than"),
            ("[log]\nlines = 4\n", ":2: log.lines: "),
            ("[log\n", ":1: not TOML"),
        )
        for n, (text, told) in enumerate(faults):
            file.write_text(text)
            shown = subprocess.run(command, capture_output=True, text=True, timeout=20)
            assert shown.returncode == 1 and f"gateway.toml{told}" in shown.stderr
            rig.gateways[0].signal(signal.SIGHUP)
            assert told in heard(rig, 0, "operator settings rejected", n + 1)[-1]["why"]
        file.write_text("[log]\nlines_a_second = 9\n[limits]\nrest_ms = 5000\n")
        rig.gateways[0].signal(signal.SIGHUP)
        read = heard(rig, 0, "operator settings reloaded", 1)[-1]
        assert read["max_lines_per_second"] == 9 and read["limits_need_restart"] is True
        # A gateway that cannot read its file at the start does not start, and says why.
        rig.kill(0)
        file.unlink()
        rig.start(0)
        assert rig.gateways[0].process.wait(10) == 1
        assert "gateway.toml: cannot be read" in rig.gateways[0].log().read_text()


def test_figures_of_several_gateways_are_served_and_one_that_is_gone_is_told(tmp_path):
    with GatewayCluster(world(2, "view = true", "view = false"), tmp_path) as rig:
        rig.wait_until_ready()
        addresses = [f"{rig.gateway_host(n)}:6379" for n in range(2)]
        once = subprocess.run(
            [*GRANITEDOCK, "metrics", *addresses], capture_output=True, text=True, timeout=20
        )
        for address in addresses:
            assert f'granitedock_up{{gateway="{address}"}} 1.0' in once.stdout
            assert f'granitedock_watches_total{{gateway="{address}"}} 1.0' in once.stdout
            assert f'granitedock_tasks_now{{gateway="{address}"}} 0.0' in once.stdout
        serving = subprocess.Popen(
            [*GRANITEDOCK, "metrics", "--listen", "127.0.0.1:0", *addresses],
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            where = serving.stdout.readline().split()[-1]
            rig.kill(1)
            with urllib.request.urlopen(where, timeout=10) as page:
                told = page.read().decode()
            assert f'granitedock_up{{gateway="{addresses[0]}"}} 1.0' in told
            assert f'granitedock_up{{gateway="{addresses[1]}"}} 0.0' in told
        finally:
            serving.kill()
            serving.wait()
