"""The tools' command line. The router itself starts without any of this."""

from __future__ import annotations

import typer

from barleywheel.cli import fuzz

app = typer.Typer(
    name="barleywheel",
    no_args_is_help=True,
    add_completion=False,
    help="The call router's tools. With none of these commands the router starts.",
)
app.add_typer(fuzz.app, name="fuzz")


@app.callback()
def tools() -> None:
    """The call router's tools."""
