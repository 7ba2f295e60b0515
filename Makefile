PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

.PHONY: demo test bench soak soak-platform soak-limits soak-slow-peers soak-ends lint format

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[test,lint]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m sequoiaarch.samples.demo examples/samples/kunene.jsonc examples/samples/presupuesto.jsonc

test: $(STAMP)
	$(BIN)/python -m sequoiaarch.tests

bench: $(STAMP)
	$(BIN)/python -m sequoiaarch.bench compare

soak: $(STAMP)
	$(BIN)/python -m sequoiaarch.bench soak

soak-platform: $(STAMP)
	$(BIN)/python -m sequoiaarch.tests.platform.soak --seeds 5

soak-limits: $(STAMP)
	$(BIN)/python -m sequoiaarch.tests.platform.soak.limits --seeds 5

soak-slow-peers: $(STAMP)
	$(BIN)/python -m sequoiaarch.tests.platform.soak.slow_peers --seeds 5

soak-ends: $(STAMP)
	$(BIN)/python -m sequoiaarch.tests.platform.soak.ends --seeds 5

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
