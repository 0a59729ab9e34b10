# Two commands for a newcomer: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# An environment of another kind of machine or another Python is made anew.
KIND := $(shell $(PYTHON) -c 'import sys, sysconfig; print(sysconfig.get_platform(), sys.implementation.cache_tag, sep="-")')
MADE := $(VENV)/.made-$(KIND)

.PHONY: demo test format binary clean

$(MADE): requirements.lock pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(MADE)
	$(BIN)/forklift-lab demo

test: $(MADE)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/pytest

# One executable file. docs/DESIGN.md weighs the packagers.
binary: build/forklift

build/forklift: $(MADE) $(wildcard forklift/*.py forklift/*/*.py)
	$(BIN)/pyinstaller --onefile --name forklift --noconfirm --log-level ERROR \
	  --collect-submodules forklift --collect-all cel --exclude-module IPython --exclude-module matplotlib \
	  --exclude-module numpy --copy-metadata opentelemetry-sdk \
	  --copy-metadata opentelemetry-api --collect-submodules opentelemetry \
	  --distpath build --workpath build/work --specpath build \
	  forklift/__main__.py

format: $(MADE)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

clean:
	rm -rf $(VENV) build dist out target
