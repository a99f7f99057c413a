"""Command line of the developer tools. The router itself starts without importing this package."""

from __future__ import annotations

import typer

from barleywheel.cli import fuzz

app = typer.Typer(
    name="barleywheel",
    no_args_is_help=True,
    add_completion=False,
    help="Developer tools of the call router. Without one of these commands the router starts.",
)
app.add_typer(fuzz.app, name="fuzz")


@app.callback()
def tools() -> None:
    """Developer tools of the call router."""
