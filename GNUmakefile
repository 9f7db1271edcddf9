# Targets of the project; `make help` lists them.

modules := skylarklane.example/skylarklane skylarklane.example/agent skylarklane.example/control \
	skylarklane.example/entry skylarklane.example/lib skylarklane.example/load skylarklane.example/platform skylarklane.example/test
packages := $(addsuffix /...,$(modules))
# Tests of whole processes, run one package at a time and without the race detector.
process_packages := skylarklane.example/(platform/)?test
results := docs/results
staticcheck := go run honnef.co/go/tools/cmd/staticcheck@v0.8.2

.PHONY: help build test format vet lint race spec process generate bench measure pages soak clean

# help: list the targets.
help:
	@sed -n 's/^# \([a-z]*\): /\1\t/p' GNUmakefile

# build: put every program into bin/.
build:
	go build -o bin/ ./ ./agent ./control ./entry ./load

# test: everything that CI checks.
test: format vet lint build race spec process

# format: fail where a file is not formatted.
format:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "not formatted, run gofmt -w:"; echo "$$out"; exit 1; fi

# vet: the compiler's own checks.
vet:
	go vet $(packages)

# lint: style and bugs.
lint:
	$(staticcheck) -checks all $(packages)

# race: unit tests under the race detector.
race:
	go test -race $$(go list $(packages) | grep -v -x -E '$(process_packages)')

# spec: check the models.
spec:
	@if [ -x spec/check.sh ]; then spec/check.sh; fi

# process: whole-program scenarios with real processes.
process: build
	go test -count=1 -timeout 8m skylarklane.example/test/...
	go test -count=1 -timeout 5m skylarklane.example/platform/test

# bench: measure every target and say which are missed (about five minutes).
bench: build
	bin/load bench

# measure: run every experiment and measurement anew (about twenty minutes).
measure: build
	bin/load run --out $(results) $(addprefix experiments/,$(addsuffix .yaml,sizing batch entries faults))
	bin/load slopes --out $(results)
	bin/load bench --out $(results)
	$(MAKE) pages

# pages: render the tables of the pages anew from the results.
pages: build
	bin/load pages --results $(results) docs/MEASUREMENTS.md docs/CAPACITY.md

# soak: many randomised runs; SEEDS=50 FIRST=1.
SEEDS ?= 50
FIRST ?= 1
soak: build
	go test -count=1 -timeout 120m -run TestRandomised skylarklane.example/test -seeds $(SEEDS) -firstSeed $(FIRST)

# generate: make lib/wire anew from the schemas.
generate:
	proto/generate.sh

# clean: remove what was built.
clean:
	rm -rf bin out
