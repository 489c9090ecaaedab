"""Commands of the laboratory, the load generator and the model checker."""

from __future__ import annotations

from pathlib import Path

import click

MAX_RUN_S = 3600


@click.group()
def lab() -> None:
    """Run and measure real gateways on loopback in an emulated environment (docs/lab.md)."""


@lab.command("run")
@click.argument("scenario", required=False, type=click.Path(dir_okay=False))
@click.option(
    "--out",
    "output",
    type=click.Path(file_okay=False),
    help="Write files, logs, rows and plots to this folder.",
)
@click.option(
    "--seconds",
    "length_s",
    type=click.FloatRange(1, MAX_RUN_S),
    help="The length of the run, instead of the scenario's.",
)
@click.option("--seed", type=click.IntRange(0), help="The seed of the run, instead of the scenario's.")
def lab_run(scenario: str | None, output: str | None, length_s: float | None, seed: int | None) -> None:
    """Run SCENARIO with real gateways; exits with 1 if the result is not as the scenario expects.

    The default scenario runs two gateways for a minute, with a zone that becomes slow.
    """
    from granitedock.lab.scenario import ScenarioError
    from granitedock.lab.scenario_runner import DEFAULT_SCENARIO, run_scenario

    try:
        raise SystemExit(run_scenario(scenario or DEFAULT_SCENARIO, output, click.echo, length_s, seed))
    except ScenarioError as error:
        raise click.ClickException(str(error)) from None


@click.command("load")
@click.argument("scenario", type=click.Path(dir_okay=False))
@click.option(
    "--to",
    "addresses",
    multiple=True,
    required=True,
    help="The address of a gateway; repeat it for each gateway, in order.",
)
@click.option("--seconds", "length_s", type=float, help="The length of the run, instead of the scenario's.")
@click.option(
    "--out", "output", type=click.Path(file_okay=False), help="Write the rows and plots to this folder."
)
def load_gateways(
    scenario: str, addresses: tuple[str, ...], length_s: float | None, output: str | None
) -> None:
    """Send the requests of SCENARIO's clients to gateways that are already running.

    Exits with 1 if a request did not get exactly one answer in time (rule 1). The faults of the scenario are
    not injected; only `lab run` injects them.
    """
    from granitedock.lab.scenario import ScenarioError
    from granitedock.lab.scenario_runner import run_load

    try:
        raise SystemExit(run_load(scenario, list(addresses), length_s, output, click.echo))
    except (ScenarioError, TimeoutError, ValueError) as error:
        raise click.ClickException(str(error)) from None


@click.command("report")
@click.argument("runs", nargs=-1, required=True, type=click.Path(file_okay=False))
@click.option("--out", "output", default="report.png", show_default=True, type=click.Path(dir_okay=False))
def report_runs(runs: tuple[str, ...], output: str) -> None:
    """Report on RUNS, one or more folders written by `lab run`, side by side."""
    from granitedock.lab import report, run_storage

    try:
        loaded_runs = [run_storage.read(run) for run in runs]
    except run_storage.RunError as error:
        raise click.ClickException(str(error)) from None
    for run in loaded_runs:
        for line in report.report_lines(run):
            click.echo(line)
    report.plot(loaded_runs, Path(output))
    click.echo(f"plots in {output}")


@lab.command("scale")
@click.option("--quick", is_flag=True, help="Use smaller sizes and shorter runs, for less than two minutes.")
@click.option(
    "--out",
    "output",
    default="lab-runs/scale.json",
    show_default=True,
    type=click.Path(dir_okay=False, path_type=Path),
)
@click.option(
    "--page",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the tables into this page (docs/CAPACITY.md) instead of printing them.",
)
@click.option(
    "--plots", type=click.Path(file_okay=False, path_type=Path), help="Write the plots to this folder."
)
@click.option(
    "--again",
    "show_only",
    is_flag=True,
    help="Show the results in the file of --out, without a measurement.",
)
@click.option(
    "--only",
    "kind",
    help="Repeat the measurements of one kind, by its name in the results, and keep the rest of --out.",
)
def lab_scale(  # noqa: PLR0913 - a parameter for each option
    quick: bool, output: Path, page: Path | None, plots: Path | None, show_only: bool, kind: str | None
) -> None:
    """Measure the cost of hosts, plans, gateways, requests, calls and changes.

    The sizes reach that of the operators' deployment (docs/CAPACITY.md). Writes the results to one JSON
    file and makes the tables of that page. Exits with 1 if a measurement could not be taken.
    """
    from granitedock.lab.scale import command, results
    from granitedock.lab.scale.errors import ScaleError

    try:
        if show_only:
            command.show_results(results.read_results(output), page, plots, click.echo)
            return
        output.parent.mkdir(parents=True, exist_ok=True)
        raise SystemExit(command.run_scale(quick, output, page, plots, kind, click.echo))
    except ScaleError as error:
        raise click.ClickException(str(error)) from None


@click.command("check-model")
@click.option("--views", is_flag=True, help="Check the membership views instead of gateways with requests.")
@click.option("--gateways", type=click.IntRange(1, 5), default=2, show_default=True)
@click.option("--hosts", type=click.IntRange(1, 4), default=2, show_default=True)
@click.option(
    "--task",
    "tasks",
    multiple=True,
    help="The class of a request: read, mark or once, with ! for a customer under a ceiling; repeatable.",
)
@click.option("--faults", type=click.IntRange(0, 5), default=1, show_default=True)
@click.option(
    "--warm",
    type=click.IntRange(0, 50),
    default=0,
    show_default=True,
    help="Requests that each gateway has served at the start.",
)
@click.option(
    "--replacement",
    is_flag=True,
    help="Hosts in two cells, of which one may be replaced by a process of the other cell at its address.",
)
@click.option(
    "--window-ms",
    default=1200.0,
    show_default=True,
    help="With --views: faults begin within this time from the start, in ms.",
)
@click.option(
    "--most",
    "max_states",
    default=5_000_000,
    show_default=True,
    help="The maximum number of states to visit.",
)
@click.option(
    "--workers", type=click.IntRange(1, 64), default=1, show_default=True, help="The number of processes."
)
@click.option(
    "--trace", "trace_path", default="trace.json", show_default=True, type=click.Path(dir_okay=False)
)
@click.option(
    "--replay",
    "replay_path",
    type=click.Path(dir_okay=False),
    help="Replay this trace instead of exploring the states.",
)
@click.option("--quiet", is_flag=True, help="Print only the result.")
def check_model(  # noqa: PLR0913 - a parameter for each option
    views: bool,
    gateways: int,
    hosts: int,
    tasks: tuple[str, ...],
    faults: int,
    warm: int,
    replacement: bool,
    window_ms: float,
    max_states: int,
    workers: int,
    trace_path: str,
    replay_path: str | None,
    quiet: bool,
) -> None:
    """Explore all states of a small world that runs the program's own state machines.

    Exits with 1 and writes a trace if a property is violated, and with 2 if no property is violated in the
    first --most states and there are more (docs/model-checking.md).
    """
    from granitedock.model_checking import command
    from granitedock.model_checking.errors import TraceError
    from granitedock.model_checking.gateway_world_shape import GatewayWorldShape
    from granitedock.model_checking.membership_world import MembershipWorldShape
    from granitedock.model_checking.trace import describe_gateways, describe_membership

    if views:
        description = describe_membership(MembershipWorldShape(gateways, faults, window_ms))
    else:
        tasks = tasks or ("once", "mark", "read")
        description = describe_gateways(GatewayWorldShape(gateways, hosts, tasks, faults, warm, replacement))
    lines: list[str] = []
    echo = lines.append if quiet else click.echo
    try:
        if replay_path:
            exit_code = command.replay(replay_path, echo)
        else:
            exit_code = command.check(description, max_states, workers, trace_path, echo)
    except TraceError as error:
        raise click.ClickException(str(error)) from None
    for line in lines:
        if not line.startswith("depth"):
            click.echo(line)
    raise SystemExit(exit_code)
