#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x .venv/bin/python ]; then
  echo "not built: run the build command of deploy/balancer.toml and review/build-2.sh"
  exit 2
fi
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/10/case.py
