# `make demo` and `make test` each do all the set-up a fresh machine needs.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*) platform

.PHONY: setup demo test bench bench-path format lint types check capacity soak soak-log soak-claims soak-system soak-stops soak-disks bench-log

setup: $(VENV)/.installed

$(VENV)/.installed: requirements/runtime.txt requirements/develop.txt $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip --quiet --disable-pip-version-check install -r requirements/develop.txt
	$(BIN)/python -m pip --quiet --disable-pip-version-check install --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $@

demo: setup
	$(BIN)/python -m testbed.demo

test: setup
	$(BIN)/python -m testbed.run_features

# Policies side by side; options by BENCH, such as BENCH='--seeds 3'.
bench: setup
	$(BIN)/python -m testbed.bench $(BENCH)

bench-path: setup
	$(BIN)/python -m testbed.bench_path

format: setup
	$(BIN)/ruff check --fix --quiet .
	$(BIN)/ruff format .

check: setup
	$(BIN)/ruff check --quiet .
	$(BIN)/ruff format --check .

lint: setup
	$(BIN)/flake8 .

types: setup
	$(BIN)/mypy packages platform testbed features

capacity: setup
	$(BIN)/python -m testbed.capacity

SEED ?= 1
MINUTES ?= 1

soak: soak-log soak-claims soak-system soak-stops soak-disks

soak-system: setup
	$(BIN)/python -m testbed.soak_system --seed $(SEED) --minutes $(MINUTES)

soak-claims: setup
	$(BIN)/python -m testbed.soak_claims --seed $(SEED) --minutes $(MINUTES)

soak-log: setup
	$(BIN)/python -m testbed.soak_log $(SEED) $(MINUTES)

bench-log: setup
	$(BIN)/python -m testbed.bench_log

soak-stops: setup
	$(BIN)/python -m testbed.soak_stops --seed $(SEED)

soak-disks: setup
	$(BIN)/python -m testbed.soak_disks --seed $(SEED)
