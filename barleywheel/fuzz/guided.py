"""Worker process for the atheris engine.

atheris instruments modules while they are imported, so the parsers are imported here before anything else
imports them.
"""

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
