"""The growth of costs at small sizes, in messages, bytes and Python calls, and the page's tables."""

import sys
from dataclasses import replace
from math import isinf

import pytest

from granitedock import platform_file as platform_file_module
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


def count_function_calls(action):
    """Run `action` and return the number of Python function calls that it makes."""
    call_count = 0

    def count_call(frame, event, argument):
        nonlocal call_count
        call_count += event == "call"

    sys.setprofile(count_call)
    try:
        action()
    finally:
        sys.setprofile(None)
    return call_count


def test_endpoint_list_costs_grow_linearly_and_an_update_has_a_constant_size():
    """Guards against a full list that costs more than linear time, and updates that grow with the list.

    Either happens if the gateway goes over all hosts for each host, or an update repeats the whole list.
    """
    costs = [hosts.measure(count) for count in (50, 200, 800)]
    assert growth_form(costs, "hosts", "list_bytes") == "linear"
    assert growth_form(costs, "hosts", "change_bytes") == "flat"
    assert growth_form(costs, "hosts", "memory_mb") == "linear"
    calls_per_host = [
        count_function_calls(
            lambda count=count: hosts.state_machine_with(parse_endpoint_list(full_list_record(count)))
        )
        / count
        for count in (200, 800)
    ]
    assert calls_per_host[1] < 1.5 * calls_per_host[0]


def test_platform_file_calls_and_memory_grow_linearly_with_its_plans():
    """Guards against a validation that costs more than linear time, as when each plan visits all others."""
    costs = [plans.measure(count) for count in (200, 400, 800)]
    assert growth_form(costs, "plans", "file_bytes") == "linear"
    assert growth_form(costs, "plans", "memory_mb") == "linear"
    files = {count: platform_file(count) for count in (200, 800)}
    calls_per_plan = [
        count_function_calls(lambda file=file: platform_file_module.validation_errors(file)) / count
        for count, file in files.items()
    ]
    assert calls_per_plan[1] < 1.2 * calls_per_plan[0]


def test_snapshot_bytes_and_document_memory_grow_linearly_with_the_plans():
    """Guards against a document whose snapshot or memory grows faster than its plans."""
    costs = [documents.measure(count) for count in (200, 800)]
    assert growth_form(costs, "plans", "snapshot_bytes") == "linear"
    assert growth_form(costs, "plans", "memory_mb") == "linear"


def test_duplicate_plan_names_are_detected_in_one_pass_over_the_plans():
    """Guards against a search for duplicate names that passes over all plans once for each name.

    A platform file of 21,000 plans is then read in 3.8 s instead of 0.06 s.
    """
    files = {count: platform_file(count) for count in (1_000, 8_000)}
    processor_ms = {
        count: cpu_ms(lambda file=file: platform_file_module.validation_errors(file), 5)
        for count, file in files.items()
    }
    # The factor is 8 for linear growth, and 64 with one pass for each name.
    assert processor_ms[8_000] < 24 * processor_ms[1_000]
    files[1_000]["settings"]["Tariffs"][7]["Name"] = "tenant-00100"
    assert platform_file_module.validation_errors(files[1_000]) == [
        "settings.Tariffs[].Name: 'tenant-00100' stands twice"
    ]


def test_membership_load_per_gateway_does_not_grow_with_the_cluster():
    """Guards against a membership protocol in which a gateway's messages or bytes grow with the cluster."""
    costs = [view.measure(count, 2.0) for count in (40, 120)]
    assert growth_form(costs, "gateways", "messages_a_second") == "flat"
    assert growth_form(costs, "gateways", "bytes_a_second") == "flat"


def test_hollow_gateways_on_real_sockets_get_the_list_and_small_updates(monkeypatch):
    """Guards against updates that grow with the list, as when discovery sends all hosts for each change."""
    monkeypatch.setattr(hollow_fleet, "MAX_PROCESSES", 2)
    monkeypatch.setattr(fleet, "REST_S", 0.5)
    monkeypatch.setattr(fleet, "CHANGES", 3)
    monkeypatch.setattr(fleet, "CHANGE_INTERVAL_S", 0.1)
    small, large = fleet.measure(6, 20, True), fleet.measure(6, 200, False)
    assert small.gateways == large.gateways == 6
    assert large.change_bytes < 2.0 * small.change_bytes  # The list's length does not matter.
    assert large.change_bytes < 1000.0


def test_sizes_that_exceed_the_machine_are_rejected(monkeypatch):
    """Guards against a run that exhausts the machine's descriptors or memory."""
    with pytest.raises(ScaleError, match="descriptors"):
        command.check_sizes(replace(FULL, counter_connections=(10**9,)))
    with pytest.raises(ScaleError, match="MB"):
        command.check_sizes(
            replace(FULL, hollow_gateways=(10_000,), counter_connections=(4,), request_hosts=(1,))
        )


def test_line_is_fitted_and_page_sections_are_filled_by_name():
    """Guards against a wrong slope, text outside its section, and a section that no table fills."""
    costs = [plans.PlanCost(count, 10 * count + 5, 1.0, 1.0, 1.0, 1.0) for count in (1, 2, 5)]
    line = fit_line(costs, "plans", "file_bytes")
    assert (round(line.slope, 6), round(line.intercept, 6)) == (10, 5)
    page = "a\n<!-- scale:hosts -->\nold\n<!-- /scale -->\nb\n"
    assert fill_page(page, {"hosts": "new"}, "p.md") == "a\n<!-- scale:hosts -->\n\nnew\n<!-- /scale -->\nb\n"
    with pytest.raises(ScaleError, match=r"p\.md: no such section of figures: hosts"):
        fill_page(page, {}, "p.md")


def test_malformed_results_are_rejected_with_the_file_name(tmp_path):
    """Guards against a results file of another format that fails without naming the file."""
    path = tmp_path / "scale.json"
    path.write_text('{"machine": {}}')
    with pytest.raises(ScaleError, match=r"scale\.json: no results of lab scale"):
        read_results(path)


def synthetic_results():
    """Return the results of a run with round values that are not measured."""
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


def test_missing_configuration_service_is_first_over_budget_and_figures_are_slope_by_count(tmp_path):
    """Guards against tables that hide an exceeded budget or miscalculate a figure, and lost results."""
    results = synthetic_results()
    exceeded = over_budget(role_figures(results, OperatorSize()))
    assert exceeded[0].name.startswith("a change in force") and isinf(exceeded[0].factor)
    assert any(
        figure.name.startswith("calls a second to one counter") and figure.factor == 2.0
        for figure in exceeded
    )
    sections = capacity_sections(results, OperatorSize())
    assert "| never |" in sections["role-control"]
    assert "100.0 us x 160.0 calls/s" in sections["role-gateway"]
    assert "7,900 hosts | 7.9 MB" in sections["role-gateway"]
    results.write(tmp_path / "scale.json")
    assert read_results(tmp_path / "scale.json") == results


def test_operator_size_gives_rates_per_gateway_and_per_second():
    """Guards against rates that are divided by the wrong count or period."""
    size = OperatorSize()
    assert size.requests_a_gateway == 160.0
    assert round(size.changes_a_second, 4) == 0.0127
