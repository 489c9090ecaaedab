"""The form of the slopes at small sizes, by counts of messages, bytes and steps; and the page's tables."""

import sys
from dataclasses import replace
from math import isinf

import pytest

from granitedock import platform_file as told
from granitedock.lab.scale import calls, command, documents, fleet, hollow_fleet, hosts, plans, requests, view
from granitedock.lab.scale.capacity import capacity_sections, over_budget, role_figures
from granitedock.lab.scale.errors import ScaleError
from granitedock.lab.scale.growth import fit_line, growth_form
from granitedock.lab.scale.platform import full_list_record, platform_file
from granitedock.lab.scale.probe import cpu_ms
from granitedock.lab.scale.results import Machine, Results, read_results
from granitedock.lab.scale.sizes import FULL, OperatorSize
from granitedock.lab.scale.tables import fill_page
from granitedock.service.discovery_protocol import parse_endpoint_list


def steps(act):
    """Calls of Python functions that `act` makes."""
    made = 0

    def count(frame, event, what):
        nonlocal made
        made += event == "call"

    sys.setprofile(count)
    try:
        act()
    finally:
        sys.setprofile(None)
    return made


def test_a_list_of_hosts_grows_in_line_and_a_change_of_it_has_the_same_size_at_any_count():
    rows = [hosts.measure(count) for count in (50, 200, 800)]
    assert growth_form(rows, "hosts", "list_bytes") == "linear"
    assert growth_form(rows, "hosts", "change_bytes") == "flat"
    assert growth_form(rows, "hosts", "memory_mb") == "linear"
    taken = [
        steps(lambda count=count: hosts.state_machine_with(parse_endpoint_list(full_list_record(count))))
        / count
        for count in (200, 800)
    ]
    assert taken[1] < 1.5 * taken[0]


def test_the_platforms_file_takes_steps_and_memory_in_line_with_its_plans():
    rows = [plans.measure(count) for count in (200, 400, 800)]
    assert growth_form(rows, "plans", "file_bytes") == "linear"
    assert growth_form(rows, "plans", "memory_mb") == "linear"
    files = {count: platform_file(count) for count in (200, 800)}
    checked = [steps(lambda file=file: told.validation_errors(file)) / count for count, file in files.items()]
    assert checked[1] < 1.2 * checked[0]


def test_a_change_of_the_document_has_the_same_size_at_any_count_and_a_snapshot_grows_in_line():
    rows = [documents.measure(count) for count in (200, 800)]
    assert growth_form(rows, "plans", "snapshot_bytes") == "linear"
    assert growth_form(rows, "plans", "memory_mb") == "linear"


def test_names_that_stand_twice_are_looked_for_in_one_pass_over_the_plans():
    """Guards the platform's file of 21,000 plans, read in 0.06 s, against 3.8 s by a pass for each name."""
    files = {count: platform_file(count) for count in (1_000, 8_000)}
    took = {count: cpu_ms(lambda file=file: told.validation_errors(file), 5) for count, file in files.items()}
    assert took[8_000] < 24 * took[1_000]  # 8 in line, 64 by a pass for each name
    files[1_000]["settings"]["Tariffs"][7]["Name"] = "tenant-00100"
    assert told.validation_errors(files[1_000]) == ["settings.Tariffs[].Name: 'tenant-00100' stands twice"]


def test_the_views_load_of_a_gateway_does_not_grow_with_the_fleet():
    rows = [view.measure(count, 2.0) for count in (40, 120)]
    assert growth_form(rows, "gateways", "messages_a_second") == "flat"
    assert growth_form(rows, "gateways", "bytes_a_second") == "flat"


def test_hollow_gateways_over_real_sockets_all_get_the_list_and_each_change_in_a_few_bytes(monkeypatch):
    monkeypatch.setattr(hollow_fleet, "MAX_PROCESSES", 2)
    monkeypatch.setattr(fleet, "REST_S", 0.5)
    monkeypatch.setattr(fleet, "CHANGES", 3)
    monkeypatch.setattr(fleet, "CHANGE_INTERVAL_S", 0.1)
    small, large = fleet.measure(6, 20, True), fleet.measure(6, 200, False)
    assert small.gateways == large.gateways == 6
    assert large.change_bytes < 2.0 * small.change_bytes  # whatever the list's length
    assert large.change_bytes < 1000.0


def test_sizes_beyond_the_machine_start_nothing(monkeypatch):
    with pytest.raises(ScaleError, match="descriptors"):
        command.check_sizes(replace(FULL, counter_connections=(10**9,)))
    with pytest.raises(ScaleError, match="MB"):
        command.check_sizes(
            replace(FULL, hollow_gateways=(10_000,), counter_connections=(4,), request_hosts=(1,))
        )


def test_slopes_are_read_off_and_a_page_is_filled_by_name():
    rows = [plans.PlanCost(count, 10 * count + 5, 1.0, 1.0, 1.0, 1.0) for count in (1, 2, 5)]
    line = fit_line(rows, "plans", "file_bytes")
    assert (round(line.slope, 6), round(line.intercept, 6)) == (10, 5)
    page = "a\n<!-- scale:hosts -->\nold\n<!-- /scale -->\nb\n"
    assert fill_page(page, {"hosts": "new"}, "p.md") == "a\n<!-- scale:hosts -->\n\nnew\n<!-- /scale -->\nb\n"
    with pytest.raises(ScaleError, match=r"p\.md: no such section of figures: hosts"):
        fill_page(page, {}, "p.md")


def test_results_that_are_none_are_named_with_their_file(tmp_path):
    path = tmp_path / "scale.json"
    path.write_text('{"machine": {}}')
    with pytest.raises(ScaleError, match=r"scale\.json: no results of lab scale"):
        read_results(path)


def made_up_results():
    """A run's record with plain figures: no measurement."""
    cost = requests.RequestCost(20, True, 160.0, 9, 0, 600.0, 3.0, 5.0, 6.0, 2.0, 3.0, 4.0, 30, 38.0)
    return Results(
        True,
        Machine(8, "3", 0.0, 0.0),
        hosts=[hosts.HostCost(n, 99 * n, 1.0, 1.0, 200, 1.0, 0.1, n / 1e3, n / 1e3) for n in (100, 200)],
        plans=[plans.PlanCost(n, 100 * n, n / 1e3, n / 1e3, n / 1e4, 400.0) for n in (100, 200)],
        view=[view.ViewCost(n, 6.0, 600.0, 0.2) for n in (10, 500)],
        requests=[cost, replace(cost, counting=False, cpu_us=500.0)],
        calls=[calls.CallCost(4, 40_000.0, 20.0, 59, 12)],
    )


def test_a_change_in_force_is_what_is_missing_first_and_figures_are_slope_by_count(tmp_path):
    results = made_up_results()
    over = over_budget(role_figures(results, OperatorSize()))
    assert over[0].name.startswith("a change in force") and isinf(over[0].factor)
    assert any(row.name.startswith("calls a second to one counter") and row.factor == 2.0 for row in over)
    made = capacity_sections(results, OperatorSize())
    assert "| never |" in made["role-control"]
    assert "100.0 us x 160.0 calls/s" in made["role-gateway"]
    assert "7,900 hosts | 7.9 MB" in made["role-gateway"]
    results.write(tmp_path / "scale.json")
    assert read_results(tmp_path / "scale.json") == results


def test_the_operators_size_is_told_a_gateway_and_a_second():
    size = OperatorSize()
    assert size.requests_a_gateway == 160.0
    assert round(size.changes_a_second, 4) == 0.0127
