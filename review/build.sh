#!/bin/sh
# Builds the stand-ins that the cases start. They are Python scripts that need nothing but the standard library,
# so this only checks that the interpreter of the deploy file's build compiles them.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of the deploy file first"; exit 2; }
exec .venv/bin/python -B -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
    print("ok", path)
'
