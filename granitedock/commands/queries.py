"""Commands that query running gateways over their client port (RESP)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import click

from granitedock.commands.errors import CommandError
from granitedock.gateway_query import query_gateway

JsonObject = dict[str, Any]
Formatter = Callable[[JsonObject], Iterable[str]]


@click.command()
@click.argument("address")
@click.option("--within", "timeout_s", default=3.0, show_default=True, help="Seconds to wait for the reply.")
def counters(address: str, timeout_s: float) -> None:
    """Show the counters of the running gateway at ADDRESS."""
    click.echo(query_gateway(address, b"INFO", timeout_s).decode().replace("\r\n", "\n"), nl=False)


@click.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option(
    "--listen",
    help="Serve the metrics at this address, HOST:PORT, until stopped, instead of printing them once.",
)
@click.option(
    "--within",
    "timeout_s",
    default=3.0,
    show_default=True,
    help="Seconds to wait for the reply of a gateway.",
)
def metrics(addresses: tuple[str, ...], listen: str | None, timeout_s: float) -> None:
    """Export the counters of the running gateways at ADDRESSES in the Prometheus text format."""
    from granitedock.metrics import GatewayCollector, exposition_text, serve

    collector = GatewayCollector(addresses, lambda address: query_gateway(address, b"INFO", timeout_s))
    if listen is None:
        click.echo(exposition_text(collector), nl=False)
        return
    try:
        serve(collector, listen, click.echo)
    except (OSError, ValueError) as error:
        raise CommandError(listen, error) from None


def json_command(query: bytes, help_text: str) -> Callable[[Formatter], click.Command]:
    """Return a decorator that makes a formatter into the command of the same name.

    The command queries a gateway for a JSON object and prints the lines of the formatter or, with --json, the
    unchanged reply.
    """

    def decorate(formatter: Formatter) -> click.Command:
        @click.command(formatter.__name__, help=help_text)
        @click.argument("address")
        @click.option(
            "--json", "as_json", is_flag=True, help="Print the unchanged JSON reply of the gateway."
        )
        @click.option(
            "--within", "timeout_s", default=3.0, show_default=True, help="Seconds to wait for the reply."
        )
        def command(address: str, as_json: bool, timeout_s: float) -> None:
            import orjson

            reply = query_gateway(address, query, timeout_s)
            for line in [reply.decode()] if as_json else formatter(orjson.loads(reply)):
                click.echo(line)

        return command

    return decorate


@json_command(
    b"FLEET", "Show the membership view that the running gateway at ADDRESS has of the other gateways."
)
def fleet(view: JsonObject) -> Iterable[str]:
    """Format the members that the gateway knows, with their states."""
    yield f"{view['name']} at {view['address']}: {view['live']} live, unwell {view['unwell']}"
    row = "{:<20} {:<21} {:<8} {:>5} {:>10}  {}".format
    yield row("member", "address", "state", "seat", "since s", "its share")
    for member in view["members"]:
        share = "taken over" if member["share_taken_over"] else ""
        since = f"{member['since_ms'] / 1000:.1f}"
        yield row(member["name"], member["address"], member["state"], member["seat"], since, share)


@json_command(
    b"HOSTS",
    "Show the state and ejection of hosts at the running gateway at ADDRESS, and who observed failures.",
)
def hosts(view: JsonObject) -> Iterable[str]:
    """Format the status and ejection of each host, and the observations that other gateways sent."""
    row = "{:<24} {:<9} {:<9} {:<9} {}".format
    yield row("host", "listed", "own eyes", "kept out", "told by (age s: failures in a row)")
    for name, host in view["hosts"].items():
        observers = ", ".join(
            f"{observation['by']} ({observation['age_ms'] / 1000:.1f}: {observation['failures']})"
            for observation in host["told"]
        )
        yield row(name, host["status"], host["state"] or "", host["out"] or "", observers)
    if view["set_apart"]:
        yield f"set apart, as they call most hosts bad: {', '.join(view['set_apart'])}"


@json_command(
    b"CONFIG", "Show the configuration that the running gateway at ADDRESS has in force, and its source."
)
def configuration(view: JsonObject) -> Iterable[str]:
    """Format the version of the configuration, and the connection to the configuration service."""
    yield f"version {view['version']}, digest {view['digest']}, cluster {view['cluster']}"
    yield f"{view['plans']} plans, {view['classes']} classes"
    yield f"{view['state']} {view['control']}; own order {', '.join(view['addresses'])}"
    yield ", ".join(f"{name} {count}" for name, count in sorted(view["counts"].items()))
