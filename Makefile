# One target per task. `make test` runs the tests; .ci/run also runs the formatter,
# the linter and the race detector, and compares the generated code.

TOOLS := $(CURDIR)/.tools
MODULES := . cmd/savorydeal cmd/savorydeal-bench cmd/savorydeal-node
GOLANGCI_VERSION := v2.15.0
OGEN_VERSION := v1.25.0
BUF_VERSION := v1.75.0
PROTOC_GEN_GO_VERSION := v1.36.12
FUZZ_TIME ?= 10m
SEED ?= 1
FOR ?= 5m

.PHONY: demo platform-demo test test-crowds race build fmt fmt-check lint lint-tools generate generate-tools generate-check measure golden soak fuzz

demo:
	go run ./cmd/savorydeal-bench demo

# Runs load and planned work, without faults, on a small cluster of the platform on
# loopback. It does not need the platform's own test bench.
platform-demo:
	go run ./cmd/savorydeal-bench platform-demo

test:
	go test ./...
	$(MAKE) test-crowds

# Tests with crowds of clients outside the limits, one after the other and apart from other
# tests: their bounds on memory do not depend on what runs beside them.
test-crowds:
	go test -p 1 -tags crowds ./internal/sdstandcrowd ./internal/sdoverlimit

race:
	go test -race ./...

build:
	@for module in $(MODULES); do (cd $$module && go build -o /dev/null ./... && go vet ./...) || exit 1; done

lint-tools:
	@test -x $(TOOLS)/golangci-lint || GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

fmt: lint-tools
	@for module in $(MODULES); do (cd $$module && $(TOOLS)/golangci-lint fmt ./...) || exit 1; done

fmt-check: lint-tools
	@for module in $(MODULES); do (cd $$module && $(TOOLS)/golangci-lint fmt --diff ./...) || exit 1; done

lint: lint-tools
	@for module in $(MODULES); do (cd $$module && $(TOOLS)/golangci-lint run ./...) || exit 1; done

generate-tools:
	@test -x $(TOOLS)/ogen || GOBIN=$(TOOLS) go install github.com/ogen-go/ogen/cmd/ogen@$(OGEN_VERSION)
	@test -x $(TOOLS)/buf || GOBIN=$(TOOLS) go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	@test -x $(TOOLS)/protoc-gen-go || GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)

generate: generate-tools
	@for api in operator platform target; do \
		$(TOOLS)/ogen --config api/ogen.yml --clean --package sd$${api}api --target internal/sd$${api}api api/$$api.yaml || exit 1; \
	done
	@cd api && PATH=$(TOOLS):$$PATH buf lint && PATH=$(TOOLS):$$PATH buf generate

# Fails if the committed code differs from what the generators write.
generate-check: generate
	git diff --exit-code -- internal/sdoperatorapi internal/sdplatformapi internal/sdtargetapi internal/sdpeerpb

# Rewrites the golden files from the current output of the tests.
golden:
	@for folder in $$(go list -f "{{if .TestGoFiles}}{{.Dir}}{{else if .XTestGoFiles}}{{.Dir}}{{end}}" ./... | xargs grep -ls sdgolden --include=*_test.go -r | xargs -n1 dirname | sort -u); do go test $$folder -update-golden || exit 1; done

# Runs four benchmarks and writes their reports to docs/measurements.
measure:
	@mkdir -p docs/measurements
	go run ./cmd/savorydeal-bench path > docs/measurements/path.md
	go run ./cmd/savorydeal-bench truth > docs/measurements/truth.md
	go run ./cmd/savorydeal-bench stop > docs/measurements/stop.md
	go run ./cmd/savorydeal-bench fleet > docs/measurements/fleet.md

# One randomised run over everything for the time FOR. SEED determines the schedule
# of faults.
soak:
	go run ./cmd/savorydeal-bench soak --seed $(SEED) -- $(FOR)

# Fuzzes the decoders of input from other processes, each for FUZZ_TIME.
fuzz:
	go test ./internal/sdwire -run '^$$' -fuzz FuzzDecodeCall -fuzztime $(FUZZ_TIME)
	go test ./platform -run '^$$' -fuzz FuzzDecoders -fuzztime $(FUZZ_TIME)
	go test ./internal/sdentry -run '^$$' -fuzz FuzzRequest -fuzztime $(FUZZ_TIME)
