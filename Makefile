# `make demo` shows requests served end to end; `make test` runs every check.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: demo test build deps format

deps:
	scripts/install-deps.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

demo: build
	CARDAMOM_BUILD=$(BUILD) scripts/demo.py

test: deps
	scripts/test.sh

format:
	git ls-files '*.cpp' '*.h' | grep -v '\.pb\.' | xargs clang-format -i
