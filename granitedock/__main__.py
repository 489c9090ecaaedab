"""The command line: python -m granitedock."""

from __future__ import annotations

import socket
from pathlib import Path

import click

from granitedock import __version__


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """An API gateway that holds customers to their quotas before a shared back end."""
    if context.invoked_subcommand is None:
        click.echo(context.get_help())


@main.command()
@click.option(
    "--told",
    envvar="LB_CONFIG",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="The JSON file that tells the gateway its name, addresses, limits and settings.",
)
@click.option(
    "--fleet",
    envvar="GRANITEDOCK_FLEET",
    type=click.Path(dir_okay=False),
    help="The operators' TOML file that turns the view of the fleet on (deploy/fleet.toml).",
)
@click.option(
    "--config",
    envvar="GRANITEDOCK_CONFIG",
    type=click.Path(dir_okay=False),
    help="The operators' TOML file of the gateway's own settings (deploy/gateway.toml).",
)
@click.option(
    "--configuration",
    envvar="GRANITEDOCK_CONFIGURATION",
    type=click.Path(dir_okay=False),
    help="The operators' TOML file that turns the configuration service on (docs/configuration-service.md).",
)
def serve(told: str, fleet: str | None, config: str | None, configuration: str | None) -> None:
    """Serve until SIGTERM."""
    from granitedock.service.serve import serve as run

    raise SystemExit(run(told, fleet_file(fleet), config, configuration_file(configuration)))


def fleet_shown(file, born: dict) -> dict:
    """What `check` says of the operators' file: whether it acts here, its times, and the bound on quotas."""
    from granitedock import birth
    from granitedock.fleet.settings import may_talk
    from granitedock.shared.bound import told
    from granitedock.shared.state import Bounds

    gateways = max(1, int(born.get("Balancers") or 1))
    return {
        "on": file.enabled and may_talk(born),
        "shared": file.enabled and may_talk(born) and file.shared.enabled,
        "pace": file.pace(),
        "bound": told(birth.plans(born), gateways, file.pace(), Bounds().tell_ms),
    }


def fleet_file(path: str | None):
    """The operators' file, read and checked, or None without one. Nothing is started by one that fails."""
    if path is None:
        return None
    from granitedock.fleet.settings import load
    from granitedock.tomlfile import FileError

    try:
        return load(path)
    except FileError as fault:
        raise click.ClickException(str(fault)) from None


def configuration_file(path: str | None):
    """The operators' file of the configuration service, read and checked, or None without one."""
    if path is None:
        return None
    from granitedock.configuration.settings import load_gateway
    from granitedock.tomlfile import FileError

    try:
        return load_gateway(path)
    except FileError as fault:
        raise click.ClickException(str(fault)) from None


@main.command()
@click.option("--told", envvar="LB_CONFIG", required=True, type=click.Path(exists=True, dir_okay=False))
@click.option("--fleet", envvar="GRANITEDOCK_FLEET", type=click.Path(dir_okay=False))
@click.option("--config", envvar="GRANITEDOCK_CONFIG", type=click.Path(dir_okay=False))
def check(told: str, fleet: str | None, config: str | None) -> None:
    """Read such a file and print what the gateway would serve with."""
    import orjson

    from granitedock import birth
    from granitedock.service.limits import Limits
    from granitedock.service.told import ToldError
    from granitedock.service.told import load as load_told
    from granitedock.tomlfile import FileError

    try:
        record = load_told(told)
        born = record["settings"]
        limits = Limits.told(record)
        if config is not None:
            from granitedock.service.operators import load

            limits = load(config).over(limits)
        shown = {
            "limits": limits,
            "seat": birth.seat(int(record["seed"], 16), born),
            "leave": birth.leave(born),
            "cold": birth.cold(born),
            "products": birth.products(born),
            "plans": birth.plans(born),
        }
        if (file := fleet_file(fleet)) is not None:
            shown["fleet"] = fleet_shown(file, born)
    except (FileError, ToldError) as fault:
        raise click.ClickException(str(fault)) from None
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        raise click.ClickException(f"{told}: {type(fault).__name__}: {fault}") from None
    click.echo(orjson.dumps(shown, option=orjson.OPT_INDENT_2).decode())


@main.command()
@click.argument("address")
@click.option("--within", default=3.0, show_default=True, help="Seconds to wait for the answer.")
def counters(address: str, within: float) -> None:
    """Ask the running gateway at ADDRESS for its counters."""
    click.echo(asked(address, b"INFO", within).decode().replace("\r\n", "\n"), nl=False)


@main.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--listen", help="Serve them at this address, HOST:PORT, until stopped, instead of once.")
@click.option("--within", default=3.0, show_default=True, help="Seconds to wait for a gateway's answer.")
def metrics(addresses: tuple[str, ...], listen: str | None, within: float) -> None:
    """The counters of the running gateways at ADDRESSES, as Prometheus reads them."""
    from granitedock import metrics

    collector = metrics.Gateways(addresses, lambda address: asked(address, b"INFO", within))
    if listen is None:
        click.echo(metrics.text(collector), nl=False)
        return
    try:
        metrics.serve(collector, listen, click.echo)
    except (OSError, ValueError) as fault:
        raise click.ClickException(f"{listen}: {fault}") from None


def asked(address: str, word: bytes, within: float) -> bytes:
    """The bulk string that a running gateway answers to one word."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host.strip("[]"), int(port)), timeout=within) as line:
            line.sendall(b"*1\r\n$%d\r\n%b\r\n" % (len(word), word))
            with line.makefile("rb") as said:
                head = said.readline()
                if not head.startswith(b"$"):
                    raise click.ClickException(f"{address} answers {head.strip().decode('latin-1')!r}")
                return said.read(int(head[1:]))
    except (OSError, ValueError) as fault:
        raise click.ClickException(f"{address}: {fault}") from None


def shown(word: bytes, help: str):
    """A command that asks a running gateway for JSON by one word, and shows it by the function it decorates,
    as a table's lines, unless all of it is wanted."""

    def made(table):
        @main.command(table.__name__, help=help)
        @click.argument("address")
        @click.option("--json", "as_json", is_flag=True, help="As the gateway words it, in JSON.")
        @click.option("--within", default=3.0, show_default=True, help="Seconds to wait for the answer.")
        def ask(address: str, as_json: bool, within: float) -> None:
            import orjson

            told = asked(address, word, within)
            for line in [told.decode()] if as_json else table(orjson.loads(told)):
                click.echo(line)

        return ask

    return made


@shown(b"FLEET", "Show what the running gateway at ADDRESS holds of the other gateways.")
def fleet(view: dict):
    yield f"{view['name']} at {view['address']}: {view['live']} live, unwell {view['unwell']}"
    row = "{:<20} {:<21} {:<8} {:>5} {:>10}  {}".format
    yield row("member", "address", "state", "seat", "since s", "its share")
    for member in view["members"]:
        share = "taken over" if member["share_taken_over"] else ""
        since = f"{member['since_ms'] / 1000:.1f}"
        yield row(member["name"], member["address"], member["state"], member["seat"], since, share)


@shown(
    b"HOSTS",
    "Show what the running gateway at ADDRESS knows of the hosts, from whom, and what it does by it.",
)
def hosts(view: dict):
    row = "{:<24} {:<9} {:<9} {:<9} {}".format
    yield row("host", "listed", "own eyes", "kept out", "told by (age s: failures in a row)")
    for name, host in view["hosts"].items():
        by = ", ".join(
            f"{said['by']} ({said['age_ms'] / 1000:.1f}: {said['failures']})" for said in host["told"]
        )
        yield row(name, host["status"], host["state"] or "", host["out"] or "", by)
    if view["set_apart"]:
        yield f"set apart, as they call most hosts bad: {', '.join(view['set_apart'])}"


@main.command()
@click.option("--config", required=True, type=click.Path(dir_okay=False), help="This process's TOML file.")
@click.option(
    "--follow", multiple=True, help="Be a replica of the control process here, instead of the file's."
)
@click.option(
    "--import",
    "imported",
    type=click.Path(exists=True, dir_okay=False),
    help="A platform's file whose plans and classes become version 1 of an empty store.",
)
def control(config: str, follow: tuple[str, ...], imported: str | None) -> None:
    """Serve plans and request classes to gateways until SIGTERM: the writer, or a replica."""
    from granitedock.configuration.document import ConfigurationError
    from granitedock.configuration.process import run
    from granitedock.configuration.settings import load_control
    from granitedock.service.told import ToldError
    from granitedock.service.told import load as load_told
    from granitedock.tomlfile import FileError

    try:
        file = load_control(config)
        if follow:
            file = file.model_validate(file.model_dump() | {"follow": list(follow)})
        settings = load_told(imported)["settings"] if imported else None
        raise SystemExit(run(file, settings, imported or ""))
    except (FileError, ToldError, ConfigurationError) as fault:
        raise click.ClickException(str(fault)) from None
    except ValueError as fault:
        raise click.ClickException(f"--follow: {fault}") from None


@shown(b"CONFIG", "Show which configuration the running gateway at ADDRESS has in force, and from whom.")
def configuration(view: dict):
    yield f"version {view['version']}, digest {view['digest']}, cluster {view['cluster']}"
    yield f"{view['plans']} plans, {view['classes']} classes"
    yield f"{view['state']} {view['control']}; own order {', '.join(view['addresses'])}"
    yield ", ".join(f"{name} {count}" for name, count in sorted(view["counts"].items()))


@main.group("config")
def config_group() -> None:
    """Plans and request classes in force while gateways run (docs/configuration-service.md)."""


def from_control(act, *what):
    """What a control process says, or the command's error."""
    from granitedock.configuration.document import ConfigurationError

    try:
        return act(*what)
    except ConfigurationError as fault:
        raise click.ClickException(str(fault)) from None


@config_group.command("check")
@click.argument("change", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def config_check(change: Path) -> None:
    """Check the change in the JSON file CHANGE by its form alone; nothing is asked or sent."""
    from granitedock.configuration.change_form import parsed

    made = from_control(parsed, change.read_bytes(), str(change))
    click.echo(f"{change}: {len(made.edit)} entries on version {made.base}")


@config_group.command("apply")
@click.argument("change", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--to", "address", required=True, help="The writer's address.")
@click.option("--within", default=10.0, show_default=True, help="Seconds to wait for the answer.")
def config_apply(change: Path, address: str, within: float) -> None:
    """Put the change in the JSON file CHANGE in force, if it is made on the present version."""
    from granitedock.configuration import client
    from granitedock.configuration.change_form import parsed

    data = change.read_bytes()
    from_control(parsed, data, str(change))
    made = from_control(client.apply, address, data, within)
    click.echo(f"version {made['version']}, digest {made['digest']}")


@config_group.command("show")
@click.argument("address")
@click.option("--plan", help="Only the plan of this name.")
@click.option("--within", default=10.0, show_default=True, help="Seconds to wait for the answer.")
def config_show(address: str, plan: str | None, within: float) -> None:
    """The document that the control process at ADDRESS holds, as JSON."""
    import orjson

    from granitedock.configuration import client

    shown = from_control(client.document, address, within)
    if plan is not None:
        found = [one for one in shown["plans"] if one["Name"] == plan]
        if not found:
            raise click.ClickException(f"{address}: no plan {plan!r}")
        shown = found[0]
    click.echo(orjson.dumps(shown, option=orjson.OPT_INDENT_2).decode())


@config_group.command("status")
@click.argument("addresses", nargs=-1, required=True)
@click.option("--all", "every", is_flag=True, help="A line for each follower, also those that lack nothing.")
@click.option("--json", "as_json", is_flag=True, help="All of it, in JSON.")
@click.option("--within", default=10.0, show_default=True, help="Seconds to wait for each answer.")
def config_status(addresses: tuple[str, ...], every: bool, as_json: bool, within: float) -> None:
    """Which version the followers of the control processes at ADDRESSES have in force, how many lag and by
    how long. Exits with 1 if one lags, or a control process does not answer."""
    import orjson

    from granitedock.configuration import report

    found = report.gathered(addresses, within)
    if as_json:
        click.echo(orjson.dumps(found.as_json(), option=orjson.OPT_INDENT_2).decode())
    else:
        for line in report.lines(found, every):
            click.echo(line)
    raise SystemExit(0 if found.well() else 1)


@main.group()
def lab() -> None:
    """The laboratory: emulated worlds round real gateways on loopback (docs/lab.md)."""


@lab.command("run")
@click.argument("scenario", required=False, type=click.Path(dir_okay=False))
@click.option(
    "--out", type=click.Path(file_okay=False), help="Keep files, logs, rows and plots in this folder."
)
def lab_run(scenario: str | None, out: str | None) -> None:
    """Play SCENARIO with real gateways (without one: a minute of two gateways and a zone that slows); exits
    with 1 if it does not show what it expects."""
    from granitedock.lab.play import DEFAULT, play
    from granitedock.lab.scenario import ScenarioError

    try:
        raise SystemExit(play(scenario or DEFAULT, out, click.echo))
    except ScenarioError as fault:
        raise click.ClickException(str(fault)) from None


@main.command("load")
@click.argument("scenario", type=click.Path(dir_okay=False))
@click.option("--to", "addresses", multiple=True, required=True, help="A gateway; once for each, in order.")
@click.option("--seconds", type=float, help="Instead of the scenario's own length.")
@click.option("--out", type=click.Path(file_okay=False), help="Keep the rows and plots in this folder.")
def load_gateways(scenario: str, addresses: tuple[str, ...], seconds: float | None, out: str | None) -> None:
    """Put the load of SCENARIO's clients on gateways that run already; exits with 1 if an answer broke the
    first rule. Its faults are not played: those are for `lab run`."""
    from granitedock.lab.play import loaded
    from granitedock.lab.scenario import ScenarioError

    try:
        raise SystemExit(loaded(scenario, list(addresses), seconds, out, click.echo))
    except (ScenarioError, TimeoutError, ValueError) as fault:
        raise click.ClickException(str(fault)) from None


@main.command("report")
@click.argument("runs", nargs=-1, required=True, type=click.Path(file_okay=False))
@click.option("--out", default="report.png", show_default=True, type=click.Path(dir_okay=False))
def report_runs(runs: tuple[str, ...], out: str) -> None:
    """Report on RUNS, folders that `lab run` left: one, or several side by side."""
    from granitedock.lab import report

    try:
        found = [report.read(run) for run in runs]
    except report.ReportError as fault:
        raise click.ClickException(str(fault)) from None
    for run in found:
        for line in report.lines(run):
            click.echo(line)
    report.plot(found, Path(out))
    click.echo(f"plots in {out}")


@lab.command("scale")
@click.option("--quick", is_flag=True, help="Smaller sizes and shorter runs: under two minutes.")
@click.option(
    "--out", default="lab-runs/scale.json", show_default=True, type=click.Path(dir_okay=False, path_type=Path)
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
    is_flag=True,
    help="Measure nothing: show what the file of --out holds.",
)
def lab_scale(quick: bool, out: Path, page: Path | None, plots: Path | None, again: bool) -> None:
    """Measure what hosts, plans, gateways, requests, calls and changes cost, up to the operators' size; keeps
    one JSON and makes the tables of docs/CAPACITY.md. Exits with 1 if a measurement could not be taken."""
    from granitedock.lab.scale import command, results
    from granitedock.lab.scale.probe import ScaleError

    try:
        if again:
            command.shown(results.read(out), page, plots, click.echo)
            return
        out.parent.mkdir(parents=True, exist_ok=True)
        raise SystemExit(command.scale(quick, out, page, plots, click.echo))
    except ScaleError as fault:
        raise click.ClickException(str(fault)) from None


@main.command("check-model")
@click.option("--views", is_flag=True, help="The fleet's views instead of gateways with tasks.")
@click.option("--gateways", type=click.IntRange(1, 5), default=2, show_default=True)
@click.option("--hosts", type=click.IntRange(1, 4), default=2, show_default=True)
@click.option("--task", "tasks", multiple=True, help="read, mark or once, once for each; ! for a ceiling.")
@click.option("--faults", type=click.IntRange(0, 5), default=1, show_default=True)
@click.option("--warm", type=click.IntRange(0, 50), default=0, show_default=True, help="Tasks served before.")
@click.option("--window-ms", default=1200.0, show_default=True, help="With --views: faults begin within it.")
@click.option("--most", default=5_000_000, show_default=True, help="States to visit at most.")
@click.option("--workers", type=click.IntRange(1, 64), default=1, show_default=True, help="Processes.")
@click.option("--trace", default="trace.json", show_default=True, type=click.Path(dir_okay=False))
@click.option("--replay", type=click.Path(dir_okay=False), help="Play this trace again instead.")
@click.option("--quiet", is_flag=True, help="Say only what came of it.")
def check_model(
    views, gateways, hosts, tasks, faults, warm, window_ms, most, workers, trace, replay, quiet
) -> None:
    """Visit every state of a small world through the program's own state machines; exits with 1 and a trace
    if a property is broken (docs/model.md)."""
    from granitedock.model import command

    if views:
        told = command.fleet_of(command.Fleet(gateways, faults, window_ms))
    else:
        tasks = tasks or ("once", "mark", "read")
        told = command.shape_of(command.Shape(gateways, hosts, tasks, faults, warm))
    said: list[str] = []
    say = said.append if quiet else click.echo
    try:
        code = command.replay(replay, say) if replay else command.check(told, most, workers, trace, say)
    except command.TraceError as fault:
        raise click.ClickException(str(fault)) from None
    for line in (line for line in said if not line.startswith("depth")):
        click.echo(line)
    raise SystemExit(code)


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)


if __name__ == "__main__":
    main()
