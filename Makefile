# VENV may name an environment that already holds constraints.txt.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
PACKAGES = almondspread almondspread_platform almondspread_daemon almondspread_cli almondspread_standin
empty =
space = $(empty) $(empty)
SOURCES = $(foreach package,$(PACKAGES),packages/$(package)) platform
export PYTHONPATH = $(subst $(space),:,$(foreach source,$(SOURCES),$(CURDIR)/$(source)))

.PHONY: environment demo test check format capacity soak

environment:
	@sh tools/prepare_environment.sh "$(VENV)"

demo: environment
	@$(PYTHON) -m almondspread_standin demo

check: environment
	$(PYTHON) -m ruff format --check packages platform tools
	$(PYTHON) -m ruff check packages platform tools
	$(PYTHON) -m mypy packages/almondspread/almondspread

test: check
	$(PYTHON) tools/run_tests.py

format: environment
	$(PYTHON) -m ruff format packages platform tools
	$(PYTHON) -m ruff check --fix packages platform tools

capacity: environment
	$(PYTHON) -m almondspread_standin capacity

# SEED, RUNS and SECONDS may be set.
soak: environment
	$(PYTHON) -m almondspread_standin soak --seed $(or $(SEED),1) --runs $(or $(RUNS),1) --seconds $(or $(SECONDS),20)
