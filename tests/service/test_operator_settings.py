"""The operators' settings file and the metrics for Prometheus, with real gateway processes.

Guards against an invalid file that takes effect or is rejected without its line, and against metrics that
leave out a gateway that has ended.
"""

import signal
import subprocess
import sys
import time
import urllib.request

from process_fleet import fleet_scenario

from granitedock.lab.cluster.cluster import GatewayCluster

GRANITEDOCK = [sys.executable, "-m", "granitedock"]


def logged_events(cluster, number, event):
    return [line for line in cluster.gateways[number].events() if line["event"] == event]


def wait_for_events(cluster, number, event, count):
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline and len(logged_events(cluster, number, event)) < count:
        time.sleep(0.05)
    return logged_events(cluster, number, event)


def test_a_valid_file_takes_effect_and_an_invalid_one_is_rejected_with_its_line_and_changes_nothing(tmp_path):
    file = tmp_path / "gateway.toml"
    # More lines than the test causes: a fast machine takes less than a second for it, and 7 were too few.
    file.write_text("[log]\nlines_a_second = 70\n[limits]\nrest_ms = 4000\n")
    with GatewayCluster(fleet_scenario(1, "view = true", "view = false"), tmp_path) as cluster:
        cluster.wait_until_ready()
        cluster.kill(0)
        cluster.gateways[0].options += ["--config", str(file)]
        cluster.start(0)
        cluster.wait_until_ready()
        platform_file = str(cluster.gateways[0].platform_path())
        command = [*GRANITEDOCK, "check", "--told", platform_file, "--config", str(file)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=20)
        assert '"log_lines": 70' in result.stdout and '"rest_ms": 4000.0' in result.stdout
        invalid_files = (
            ("[log]\nlines_a_second = 0\n", ":2: log.lines_a_second: "),
            ("[limits]\nrest_ms = 10\n", ":2: limits.rest_ms: "),
            ("[limits]\nredial_ms = 900\nwatch_most_ms = 100\n", ":3: limits.watch_most_ms: less than"),
            ("[log]\nlines = 4\n", ":2: log.lines: "),
            ("[log\n", ":1: not TOML"),
        )
        for index, (text, expected) in enumerate(invalid_files):
            file.write_text(text)
            result = subprocess.run(command, capture_output=True, text=True, timeout=20)
            assert result.returncode == 1 and f"gateway.toml{expected}" in result.stderr
            cluster.gateways[0].signal(signal.SIGHUP)
            assert expected in wait_for_events(cluster, 0, "operator settings rejected", index + 1)[-1]["why"]
        file.write_text("[log]\nlines_a_second = 90\n[limits]\nrest_ms = 5000\n")
        cluster.gateways[0].signal(signal.SIGHUP)
        event = wait_for_events(cluster, 0, "operator settings reloaded", 1)[-1]
        assert event["max_lines_per_second"] == 90 and event["limits_need_restart"] is True
        # A gateway that cannot read its file does not start, and logs the reason.
        cluster.kill(0)
        file.unlink()
        cluster.start(0)
        assert cluster.gateways[0].process.wait(10) == 1
        assert "gateway.toml: cannot be read" in cluster.gateways[0].log().read_text()


def test_metrics_of_several_gateways_are_served_and_show_a_gateway_that_has_ended(tmp_path):
    with GatewayCluster(fleet_scenario(2, "view = true", "view = false"), tmp_path) as cluster:
        cluster.wait_until_ready()
        addresses = [f"{cluster.gateway_host(n)}:6379" for n in range(2)]
        result = subprocess.run(
            [*GRANITEDOCK, "metrics", *addresses], capture_output=True, text=True, timeout=20
        )
        for address in addresses:
            assert f'granitedock_up{{gateway="{address}"}} 1.0' in result.stdout
            assert f'granitedock_watches_total{{gateway="{address}"}} 1.0' in result.stdout
            assert f'granitedock_tasks_now{{gateway="{address}"}} 0.0' in result.stdout
        server = subprocess.Popen(
            [*GRANITEDOCK, "metrics", "--listen", "127.0.0.1:0", *addresses],
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            url = server.stdout.readline().split()[-1]
            cluster.kill(1)
            with urllib.request.urlopen(url, timeout=10) as response:
                metrics = response.read().decode()
            assert f'granitedock_up{{gateway="{addresses[0]}"}} 1.0' in metrics
            assert f'granitedock_up{{gateway="{addresses[1]}"}} 0.0' in metrics
        finally:
            server.kill()
            server.wait()
