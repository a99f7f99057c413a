# Build, test, lint and run; PYTHON names an interpreter that has the requirements.
PYTHON ?= .venv/bin/python

.PHONY: build dev test lint run

# What the deploy file builds, so that there is one recipe only.
build:
	sh -c "$$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"

# The tools of the command line and those for test and lint, in the same environment.
dev: build
	.venv/bin/python -c 'import tomllib; x = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]; print(*x["dev"], *x["tools"])' | xargs .venv/bin/pip -q install

test:
	$(PYTHON) -m pytest

lint:
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

# Needs LB_CONFIG and LB_LISTEN, as the deployment gives them.
run:
	$(PYTHON) -m barleywheel
