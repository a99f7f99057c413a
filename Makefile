# PYTHON is an interpreter with the requirements installed.
PYTHON ?= .venv/bin/python

.PHONY: build dev test lint run

# Runs the build command of the deploy file, so that the recipe exists only once.
build:
	sh -c "$$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"

# Also installs the command-line tools and what test and lint need, in the same environment.
dev: build
	.venv/bin/python -c 'import tomllib; x = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]; print(*x["dev"], *x["tools"], sep="\n")' | xargs -d '\n' .venv/bin/pip -q install

test:
	$(PYTHON) -m pytest

lint:
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

# Needs LB_CONFIG and LB_LISTEN in the environment, as the deployment sets them.
run:
	$(PYTHON) -m barleywheel
