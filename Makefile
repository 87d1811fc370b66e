SITE ?= marrinup
PYTHON ?= python3
STAMP = .venv/.installed

PROTOS = bluebellfold/agents/envelope.proto bluebellfold/balancers/control.proto

# 0 draws a fresh seed.
SEED ?= 0
COUNT ?= 1

# How long `make fuzz` goes on with fresh examples.
MINUTES ?= 10
# Property tests of everything that reads what others write.
FUZZED = bluebellfold/platform bluebellfold/relay/agents bluebellfold/store

.PHONY: environment demo test fuzz soak benchmark generate capacity regression

environment: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	.venv/bin/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: environment
	.venv/bin/python -m scripts.demo --site $(SITE) $(HOLD)

test: environment
	.venv/bin/python -m pytest

fuzz: environment
	HYPOTHESIS_PROFILE=fuzz .venv/bin/python -m scripts.fuzz \
		--minutes=$(MINUTES) $(FUZZED)

soak: environment
	.venv/bin/python -m bluebellfold.soak --first=$(SEED) --count=$(COUNT)

benchmark: environment
	.venv/bin/python -m benchmarks.forwarding

# The slopes that docs/CAPACITY.md builds on.
capacity: environment
	.venv/bin/python -m benchmarks.capacity

# Figures of the journal by deployment and commit; DEPLOYMENT=NAME shows one.
regression: environment
	.venv/bin/python -m scripts.regression --deployment='$(DEPLOYMENT)'

# The generated code is committed: a build needs no generator.
generate: environment
	PATH=.venv/bin:$$PATH .venv/bin/python -m grpc_tools.protoc --proto_path=. \
		--python_out=. --grpclib_python_out=. $(PROTOS)
