SHELL := /bin/bash
.SHELLFLAGS := -eu -o pipefail -c
GO ?= go
PROGRAMS := gypsum-entry gypsumctl gypsum-standin gypsum-load

.PHONY: all build demo test prove prove-long soak bench lint format clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	scripts/demo.sh

# The proofs build the programs themselves, which the test cache does not see, so nothing is taken from it.
# The bench runs in one goroutine, so the race detector would only slow it down. The floods measure the memory of a process and run alone.
test:
	@cat KNOWN-RED.txt
	$(GO) test -count=1 ./internal/bench
	$(GO) test -count=1 ./internal/flood
	$(GO) test -count=1 -race $$($(GO) list ./... | grep -vE 'internal/(bench|flood)$$')

# Each proof prints one line; PROOF_SECONDS and PROOF_SEED change how long and with which faults it runs.
prove:
	$(GO) test -count=1 -v -run TestProve ./internal/proof | grep -vE '^(=== |---)'

prove-long:
	for seed in 1 2 3 4 5 6; do PROOF_SECONDS=60 PROOF_SEED=$$seed $(GO) test -count=1 -timeout 30m -v -run TestProve ./internal/proof | grep -E 'PROVED|BREACH|_test.go' || exit 1; done

# Real programs under random faults; SEEDS are played one after the other, a failure stops it.
SEEDS ?= 1 2 3 4 5 6 7 8 9 10
soak:
	for seed in $(SEEDS); do SOAK_SEED=$$seed SOAK_SECONDS=$${SOAK_SECONDS:-20} $(GO) test -count=1 -race -v -run 'TestSoak|TestReleases|TestConfigurations' ./internal/soak | grep -E 'SOAK|RELEASES|_test.go|FAIL' || exit 1; done

format:
	gofmt -w cmd internal platform

clean:
	rm -rf bin build target

LINT_VERSION := v2.15.0
LINT := bin/golangci-lint-$(LINT_VERSION)

$(LINT):
	mkdir -p bin
	GOBIN=$(CURDIR)/bin/tool $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv bin/tool/golangci-lint $(LINT)

lint: $(LINT)
	test -z "$$(gofmt -l cmd internal platform)"
	$(GO) vet ./...
	scripts/names.sh
	$(LINT) run ./...

.PHONY: ci
ci: build lint test

bench: build
	bin/gypsum-load bench --sizes
