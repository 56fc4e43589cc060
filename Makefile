VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := packages/carobwood packages/carobwood-daemon packages/carobwood-client
SOURCES := packages platform tests bench examples
STAMP := $(VENV)/.installed

SHELL := bash
# Number of test files that run in parallel, at most 4: each worker has
# a port range of its own, and there are ranges for 4.
WORKERS ?= 2
.PHONY: demo rollout-demo test lint format bench upgrade soak capacity generate clean

$(STAMP): requirements.txt requirements-dev.txt $(PACKAGES:%=%/pyproject.toml)
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements-dev.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=-e %)
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) examples/demo.py

rollout-demo: $(STAMP)
	$(PYTHON) examples/rollout_demo.py

test: $(STAMP)
	$(PYTHON) -m pytest -q -n $(WORKERS) --dist loadfile \
		--max-worker-restart 0 --durations=10 tests

lint: $(STAMP)
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)

format: $(STAMP)
	$(VENV)/bin/ruff format $(SOURCES)

bench: $(STAMP)
	$(PYTHON) bench/proxy_overhead.py $(if $(QUICK),--quick)
	$(PYTHON) bench/replication.py $(if $(QUICK),--quick)
	$(PYTHON) bench/engine_policies.py $(if $(QUICK),--quick)
	$(if $(QUICK),,$(PYTHON) bench/faults.py)

# Seed of the upgrade under load.
SEED ?= 1
upgrade: $(STAMP)
	$(PYTHON) bench/upgrade.py --seed $(SEED)

# Number of seeds of the soak, and the first one.
SEEDS ?= 1
FIRST_SEED ?= 1
soak: $(STAMP)
	$(PYTHON) bench/soak.py --seeds $(SEEDS) --first-seed $(FIRST_SEED)

capacity: $(STAMP)
	$(PYTHON) bench/capacity.py

# Needed only after a change to the Thrift IDL; the generated code is
# committed.
generate:
	thrift --gen py -out packages/carobwood/carobwood/gen thrift/links.thrift

clean:
	rm -rf $(VENV)
