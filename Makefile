# Two commands for a newcomer: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test format measure clean

$(VENV)/.made: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.made
	$(BIN)/forklift-lab demo

test: $(VENV)/.made
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/pytest

format: $(VENV)/.made
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

measure: $(VENV)/.made
	$(BIN)/forklift-lab measure latency
	$(BIN)/forklift-lab measure decisions
	$(BIN)/forklift-lab measure capacity

clean:
	rm -rf $(VENV) build dist out
