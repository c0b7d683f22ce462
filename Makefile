# Targets set up the virtual environment first, with the versions pinned in constraints.txt.
PYTHON ?= python3
BIN := .venv/bin
READY := .venv/.ready
NAME ?= path
SECONDS ?= 60
SEED ?= 1

.PHONY: setup test lint format demo bench fuzz soak clean

setup: $(READY)

$(READY): constraints.txt requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q -c constraints.txt uv
	$(BIN)/uv pip install -q -c constraints.txt hatchling editables
	$(BIN)/uv pip install -q --no-build-isolation -r requirements.txt
	touch $(READY)

test: $(READY)
	$(BIN)/python -m pytest -n 8 --dist loadfile -m "not crowd"
	$(BIN)/python -m pytest -m crowd

lint: $(READY)
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

format: $(READY)
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix --quiet .

demo: $(READY)
	$(BIN)/python examples/demo.py

bench: $(READY)
	$(BIN)/python benchmarks/bench_$(NAME).py

fuzz: $(READY)
	$(BIN)/python benchmarks/fuzz_once.py --seconds $(SECONDS) --seed $(SEED)

soak: $(READY)
	cd platform/src && ../../$(BIN)/python -m burdockquay_platform.tests.soak --seed $(SEED) --seconds $(SECONDS)

clean:
	rm -rf .venv
