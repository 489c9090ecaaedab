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
def serve(told: str) -> None:
    """Serve until SIGTERM."""
    from granitedock.service.serve import serve as run

    raise SystemExit(run(told))


@main.command()
@click.option("--told", envvar="LB_CONFIG", required=True, type=click.Path(exists=True, dir_okay=False))
def check(told: str) -> None:
    """Read such a file and print what the gateway would serve with."""
    import orjson

    from granitedock import birth
    from granitedock.service.limits import Limits

    try:
        record = orjson.loads(Path(told).read_bytes())
        born = record["settings"]
        shown = {
            "limits": Limits.told(record),
            "seat": birth.seat(int(record["seed"], 16), born),
            "leave": birth.leave(born),
            "cold": birth.cold(born),
            "products": birth.products(born),
            "plans": birth.plans(born),
        }
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        raise click.ClickException(f"{told}: {type(fault).__name__}: {fault}") from None
    click.echo(orjson.dumps(shown, option=orjson.OPT_INDENT_2).decode())


@main.command()
@click.argument("address")
@click.option("--within", default=3.0, show_default=True, help="Seconds to wait for the answer.")
def counters(address: str, within: float) -> None:
    """Ask the running gateway at ADDRESS for its counters."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host.strip("[]"), int(port)), timeout=within) as line:
            line.sendall(b"*1\r\n$4\r\nINFO\r\n")
            with line.makefile("rb") as said:
                head = said.readline()
                if not head.startswith(b"$"):
                    raise click.ClickException(f"{address} answers {head.strip().decode('latin-1')!r}")
                click.echo(said.read(int(head[1:])).decode().replace("\r\n", "\n"), nl=False)
    except (OSError, ValueError) as fault:
        raise click.ClickException(f"{address}: {fault}") from None


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)


if __name__ == "__main__":
    main()
