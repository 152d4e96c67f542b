# The commands of the README. Each target does its own set-up.
BUILD ?= build
SHELL := /bin/bash
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: demo test bench soak build configure install format lint sanitize

install:
	@./.ci/install

configure: install
	@mkdir -p $(BUILD)
	@cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) > $(BUILD)/configure.log 2>&1 || { cat $(BUILD)/configure.log; exit 1; }

build: configure
	@cmake --build $(BUILD)

test: build
	@tools/run_tests $(BUILD)

lint: build
	@tools/lint $(BUILD)

format:
	@git ls-files '*.cpp' '*.hpp' | grep -v '/generated/' | xargs clang-format -i

demo: build
	@tools/demo $(BUILD)

bench: build
	@tools/bench $(BUILD) $(if $(QUICK),quick,full)

# make soak SECONDS=120 SEED=1 DAEMONS=3
SECONDS ?= 120
SEED ?= 1
DAEMONS ?= 3
soak: build
	@tools/soak $(BUILD) $(SECONDS) $(SEED) $(DAEMONS)

# make sanitize KIND=address,undefined | thread
KIND ?= address,undefined
sanitize:
	@$(MAKE) test BUILD=build-$(subst $(comma),-,$(KIND)) CMAKE_FLAGS='-DCAMPHORHITCH_SANITIZE=$(KIND) -DCMAKE_BUILD_TYPE=RelWithDebInfo'

comma := ,
