# Targets of the project; `make help` lists them.

modules := skylarklane.example/skylarklane skylarklane.example/agent skylarklane.example/control \
	skylarklane.example/entry skylarklane.example/lib skylarklane.example/load skylarklane.example/platform skylarklane.example/test
packages := $(addsuffix /...,$(modules))
# Names of the tests that KNOWN-RED.txt lists at the start of a line; they are skipped.
known_red := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')
skip := $(if $(known_red),-skip '^($(known_red))$$')
# Tests of thousands of goroutines, in which the race detector itself crashes (docs/PROOFS.md); they run without it.
race_crashes := TestContention|TestPlacementInLargeFleet|TestWatchesOfLargeFleet|TestEvacuationOfLargeFleet|TestReturnOfLargeFleet$(if $(filter aarch64 arm64,$(shell uname -m)),|TestLooksOpenNoSession)
race_skip := $(subst $() ,|,$(strip $(known_red) $(race_crashes)))

# Tests that start real processes; run one package at a time, without the race detector.
process_packages := skylarklane.example/(platform/)?test
results := docs/results
staticcheck := go run honnef.co/go/tools/cmd/staticcheck@v0.8.2

.PHONY: help build test format vet lint race spec process generate bench measure pages soak clean

# help: list the targets.
help:
	@sed -n 's/^# \([a-z]*\): /\1\t/p' GNUmakefile

# build: build all programs into bin/.
build:
	go build -o bin/ ./ ./agent ./control ./entry ./load

# test: run all checks of CI.
test: format vet lint build race spec process

# format: fail if a file is not formatted.
format:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "not formatted, run gofmt -w:"; echo "$$out"; exit 1; fi

# vet: run go vet.
vet:
	go vet $(packages)

# lint: run staticcheck.
lint:
	$(staticcheck) -checks all $(packages)

# race: run the unit tests under the race detector.
race:
	go test -race $(if $(race_skip),-skip '^($(race_skip))$$') $$(go list $(packages) | grep -v -x -E '$(process_packages)')
	go test -count=1 $(skip) -run '^($(race_crashes))$$' skylarklane.example/lib/job

# spec: verify the Promela models.
spec:
	@if [ -x spec/check.sh ]; then spec/check.sh; fi

# process: run the end-to-end tests with real processes.
process: build
	go test -count=1 -timeout 8m $(skip) skylarklane.example/test/...
	go test -count=1 -timeout 8m $(skip) skylarklane.example/platform/test
	go test -count=1 -timeout 5m $(skip) -run '^TestSoak$$' skylarklane.example/platform/test -seeds 4 -firstSeed $$(date +%s)

# bench: measure every target and report the missed ones (about five minutes).
bench: build
	bin/load bench

# measure: repeat every experiment and measurement (about twenty minutes).
measure: build
	bin/load run --out $(results) $(addprefix experiments/,$(addsuffix .yaml,sizing batch entries faults))
	bin/load slopes --out $(results)
	bin/load bench --out $(results)
	$(MAKE) pages

# pages: regenerate the tables in the documents from the results.
pages: build
	bin/load pages --results $(results) docs/MEASUREMENTS.md docs/CAPACITY.md

# soak: run the randomised tests with many seeds; SEEDS=50 FIRST=1.
SEEDS ?= 50
FIRST ?= 1
soak: build
	go test -count=1 -timeout 120m -run TestRandomised skylarklane.example/test -seeds $(SEEDS) -firstSeed $(FIRST)
	go test -count=1 -timeout 120m -run TestSoak skylarklane.example/platform/test -seeds $(SEEDS) -firstSeed $(FIRST)

# generate: regenerate lib/wire from the schemas.
generate:
	proto/generate.sh

# clean: remove build output.
clean:
	rm -rf bin out
