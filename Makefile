# All set-up is done by the targets themselves, in a virtual environment here.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := core fairshare control daemon cli
EDITABLE := $(foreach p,$(PACKAGES),-e packages/almondfield-$(p))
STAMP := $(VENV)/.installed-$(shell cat constraints.txt requirements-dev.txt packages/*/pyproject.toml | sha256sum | cut -c1-16)

.PHONY: setup demo test lint check format model slopes

setup: $(STAMP)

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt hatchling editables setuptools wheel
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation -r requirements-dev.txt $(EDITABLE)
	touch $@

demo: setup
	$(BIN)/python bench/demo.py

test: setup
	PYTHONPATH=tools $(BIN)/python tools/run_tests.py

model: setup
	$(BIN)/python spec/check.py

slopes: setup
	PYTHONPATH=bench $(BIN)/python bench/slopes.py

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .


check:
	bash .ci/run
