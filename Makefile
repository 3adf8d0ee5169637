# Targets for developers and CI. VENV may name an existing environment.
VENV ?= .venv
PACKAGES := core wire settings object_api daemon mesh operator report standins
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)/src)):$(CURDIR)/platform
export MYPYPATH := $(PYTHONPATH)
export PYTHONHASHSEED := 0
BIN := $(VENV)/bin


.PHONY: install messages test soak golden check format lint types imports demo bench

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

format: install
	$(BIN)/ruff check --quiet --fix packages tests platform
	$(BIN)/ruff format --quiet packages tests platform

lint: install
	$(BIN)/ruff check --quiet packages tests platform
	$(BIN)/ruff format --quiet --check packages tests platform
	$(BIN)/flake8 packages tests platform

types: install
	$(BIN)/mypy $(foreach p,$(PACKAGES),-p cornelbeam_$(p)) -p cornelbeam_adapter

imports: install
	$(BIN)/lint-imports --no-cache

check: lint types imports

messages:
	mkdir -p build
	thrift --gen py:slots -out build packages/wire/src/cornelbeam_wire/messages.thrift
	cp build/messages/ttypes.py packages/wire/src/cornelbeam_wire/gen/messages.py

test: install
	$(BIN)/python -m pytest

soak: install
	CORNELBEAM_SOAK_SEEDS=50 $(BIN)/python -m pytest -s tests/adapter/test_body_soak.py

# Rewrites the golden files after an intended change of the output.
golden: install
	CORNELBEAM_RECORD=1 $(BIN)/python -m pytest packages/report \
		tests/test_sessions_invariants.py tests/test_sessions_failures.py

demo: install
	$(BIN)/python -m cornelbeam_standins.demo

# Writes docs/measurements.md; takes about ten minutes.
bench: install
	$(BIN)/python -m cornelbeam_standins.record_measurements
