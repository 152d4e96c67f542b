# The commands of the README. Each does its own set-up.
BUILD ?= build
SHELL := /bin/bash

.PHONY: demo test bench soak build install format lint sanitize

install:
	@./.ci/install

build: install
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD).log 2>&1 || { mkdir -p $(BUILD); cat $(BUILD).log; exit 1; }
	@mv $(BUILD).log $(BUILD)/configure.log
	@cmake --build $(BUILD)
