# Every target sets up what it needs; PYTHON names the interpreter.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
BENCH_STAMP := $(VENV)/.installed-bench

.PHONY: demo test lint format bench soak clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    --constraint constraints.txt --editable '.[test]'
	touch $(STAMP)

$(BENCH_STAMP): $(STAMP)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    --constraint constraints.txt --editable '.[bench]'
	touch $(BENCH_STAMP)

demo: $(STAMP)
	$(BIN)/tarragonhinge demo

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 tarragonhinge benchmarks examples

format: $(STAMP)
	$(BIN)/ruff check --fix --quiet . || true
	$(BIN)/ruff format .

test: lint
	$(BIN)/pytest

# Some minutes; writes benchmarks/out/report.md, report.json and plots.
bench: $(BENCH_STAMP)
	$(BIN)/python benchmarks/report.py

# Real processes under faults; SOAK holds arguments (docs/SOAK.md).
soak: $(STAMP)
	$(BIN)/python -m tarragonhinge.platform.soak $(SOAK)

clean:
	rm -rf $(VENV) build *.egg-info
