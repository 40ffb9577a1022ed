VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin

.PHONY: env lint types unit test demo capacity lock

env: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .

types: env
	$(BIN)/mypy

unit: env
	$(BIN)/python -m tests

test: lint types unit

demo: env
	$(BIN)/python -m emulator demo

capacity: env
	$(BIN)/python -m emulator.capacity
