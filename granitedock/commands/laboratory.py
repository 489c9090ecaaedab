"""Commands of the laboratory, the load generator and the model checker."""

from __future__ import annotations

from pathlib import Path

import click


@click.group()
def lab() -> None:
    """The laboratory: emulated worlds round real gateways on loopback (docs/lab.md)."""


@lab.command("run")
@click.argument("scenario", required=False, type=click.Path(dir_okay=False))
@click.option(
    "--out",
    "output",
    type=click.Path(file_okay=False),
    help="Keep files, logs, rows and plots in this folder.",
)
def lab_run(scenario: str | None, output: str | None) -> None:
    """Play SCENARIO with real gateways (without one: a minute of two gateways and a zone that slows); exits
    with 1 if it does not show what it expects."""
    from granitedock.lab.scenario import ScenarioError
    from granitedock.lab.scenario_runner import DEFAULT_SCENARIO, run_scenario

    try:
        raise SystemExit(run_scenario(scenario or DEFAULT_SCENARIO, output, click.echo))
    except ScenarioError as error:
        raise click.ClickException(str(error)) from None


@click.command("load")
@click.argument("scenario", type=click.Path(dir_okay=False))
@click.option("--to", "addresses", multiple=True, required=True, help="A gateway; once for each, in order.")
@click.option("--seconds", "length_s", type=float, help="Instead of the scenario's own length.")
@click.option(
    "--out", "output", type=click.Path(file_okay=False), help="Keep the rows and plots in this folder."
)
def load_gateways(
    scenario: str, addresses: tuple[str, ...], length_s: float | None, output: str | None
) -> None:
    """Put the load of SCENARIO's clients on gateways that run already; exits with 1 if an answer broke the
    first rule. Its faults are not played: those are for `lab run`."""
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
    """Report on RUNS, folders that `lab run` left: one, or several side by side."""
    from granitedock.lab import report, run_storage

    try:
        loaded = [run_storage.read(run) for run in runs]
    except run_storage.RunError as error:
        raise click.ClickException(str(error)) from None
    for run in loaded:
        for line in report.report_lines(run):
            click.echo(line)
    report.plot(loaded, Path(output))
    click.echo(f"plots in {output}")


@lab.command("scale")
@click.option("--quick", is_flag=True, help="Smaller sizes and shorter runs: under two minutes.")
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
    help="Fill this page's tables (docs/CAPACITY.md); without it they are printed.",
)
@click.option(
    "--plots", type=click.Path(file_okay=False, path_type=Path), help="Draw the plots into this folder."
)
@click.option(
    "--again",
    "show_only",
    is_flag=True,
    help="Measure nothing: show what the file of --out holds.",
)
@click.option(
    "--only", "kind", help="Measure one kind anew, as the results name it, and keep the rest of --out."
)
def lab_scale(  # noqa: PLR0913 - a parameter for each option
    quick: bool, output: Path, page: Path | None, plots: Path | None, show_only: bool, kind: str | None
) -> None:
    """Measure what hosts, plans, gateways, requests, calls and changes cost, up to the operators' size; keeps
    one JSON and makes the tables of docs/CAPACITY.md. Exits with 1 if a measurement could not be taken."""
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
@click.option("--views", is_flag=True, help="The fleet's views instead of gateways with tasks.")
@click.option("--gateways", type=click.IntRange(1, 5), default=2, show_default=True)
@click.option("--hosts", type=click.IntRange(1, 4), default=2, show_default=True)
@click.option("--task", "tasks", multiple=True, help="read, mark or once, once for each; ! for a ceiling.")
@click.option("--faults", type=click.IntRange(0, 5), default=1, show_default=True)
@click.option("--warm", type=click.IntRange(0, 50), default=0, show_default=True, help="Tasks served before.")
@click.option("--window-ms", default=1200.0, show_default=True, help="With --views: faults begin within it.")
@click.option("--most", "max_states", default=5_000_000, show_default=True, help="States to visit at most.")
@click.option("--workers", type=click.IntRange(1, 64), default=1, show_default=True, help="Processes.")
@click.option(
    "--trace", "trace_path", default="trace.json", show_default=True, type=click.Path(dir_okay=False)
)
@click.option(
    "--replay", "replay_path", type=click.Path(dir_okay=False), help="Play this trace again instead."
)
@click.option("--quiet", is_flag=True, help="Say only what came of it.")
def check_model(  # noqa: PLR0913 - a parameter for each option
    views: bool,
    gateways: int,
    hosts: int,
    tasks: tuple[str, ...],
    faults: int,
    warm: int,
    window_ms: float,
    max_states: int,
    workers: int,
    trace_path: str,
    replay_path: str | None,
    quiet: bool,
) -> None:
    """Visit every state of a small world through the program's own state machines; exits with 1 and a trace
    if a property is broken (docs/model-checking.md)."""
    from granitedock.model_checking import command
    from granitedock.model_checking.errors import TraceError
    from granitedock.model_checking.gateway_world_shape import GatewayWorldShape
    from granitedock.model_checking.membership_world import MembershipWorldShape
    from granitedock.model_checking.trace import describe_gateways, describe_membership

    if views:
        world = describe_membership(MembershipWorldShape(gateways, faults, window_ms))
    else:
        tasks = tasks or ("once", "mark", "read")
        world = describe_gateways(GatewayWorldShape(gateways, hosts, tasks, faults, warm))
    lines: list[str] = []
    echo = lines.append if quiet else click.echo
    try:
        if replay_path:
            code = command.replay(replay_path, echo)
        else:
            code = command.check(world, max_states, workers, trace_path, echo)
    except TraceError as error:
        raise click.ClickException(str(error)) from None
    for line in lines:
        if not line.startswith("depth"):
            click.echo(line)
    raise SystemExit(code)
