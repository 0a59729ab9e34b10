# Two commands for a newcomer: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test format binary clean

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

# One executable file. docs/DESIGN.md weighs the packagers.
binary: build/forklift

build/forklift: $(VENV)/.made $(wildcard forklift/*.py forklift/*/*.py)
	$(BIN)/pyinstaller --onefile --name forklift --noconfirm --log-level ERROR \
	  --collect-submodules forklift --collect-all cel --exclude-module IPython --exclude-module matplotlib \
	  --exclude-module numpy --copy-metadata opentelemetry-sdk \
	  --copy-metadata opentelemetry-api --collect-submodules opentelemetry \
	  --distpath build --workpath build/work --specpath build \
	  forklift/__main__.py

format: $(VENV)/.made
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

clean:
	rm -rf $(VENV) build dist out target
