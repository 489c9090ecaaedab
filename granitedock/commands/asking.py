"""Commands that ask running gateways over their own port."""

from __future__ import annotations

import socket

import click


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


@click.command()
@click.argument("address")
@click.option("--within", default=3.0, show_default=True, help="Seconds to wait for the answer.")
def counters(address: str, within: float) -> None:
    """Ask the running gateway at ADDRESS for its counters."""
    click.echo(asked(address, b"INFO", within).decode().replace("\r\n", "\n"), nl=False)


@click.command()
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


def shown(word: bytes, help: str):
    """A command that asks a running gateway for JSON by one word, and shows it by the function it decorates,
    as a table's lines, unless all of it is wanted."""

    def made(table):
        @click.command(table.__name__, help=help)
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


@shown(b"CONFIG", "Show which configuration the running gateway at ADDRESS has in force, and from whom.")
def configuration(view: dict):
    yield f"version {view['version']}, digest {view['digest']}, cluster {view['cluster']}"
    yield f"{view['plans']} plans, {view['classes']} classes"
    yield f"{view['state']} {view['control']}; own order {', '.join(view['addresses'])}"
    yield ", ".join(f"{name} {count}" for name, count in sorted(view["counts"].items()))
