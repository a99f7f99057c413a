"""A worker under atheris: the parsers are instrumented while they are imported, so before anything else."""

from __future__ import annotations

import atheris

with atheris.instrument_imports(
    include=[
        "barleywheel.wire",
        "barleywheel.net",
        "barleywheel.config",
        "barleywheel.benchlink",
        "barleywheel.snmp",
    ]
):
    from barleywheel.fuzz import worker

if __name__ == "__main__":
    worker.main()
