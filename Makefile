BIN := $(CURDIR)/.bin
GOLANGCI_VERSION := v2.15.0
BUF_VERSION := v1.75.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_CONNECT_GO_VERSION := v1.21.1
SECONDS ?= 60
SEED ?= 1
DAEMONS ?= 5

.PHONY: demo test limits bench soak lint format generate

demo:
	go run . demo

# Skips the tests that KNOWN-RED.txt lists, and prints them.
test:
	@./run-tests

limits:
	LIMITS_REPORT=1 go test -count=1 -v -run "^TestLimitsHoldOverAllDaemons$$" ./process/borrower

bench:
	go test -run '^$$' -bench . -benchmem ./...
	go test -count=1 -run '^TestPolicyReport$$' -v ./request/scheduler

# Runs real daemons with stand-ins for the users' platform, and then the demo's
# deployment in one process.
soak:
	SOAK_SECONDS=$(SECONDS) SOAK_SEED=$(SEED) SOAK_DAEMONS=$(DAEMONS) go test -count=1 -timeout 0 -run '^TestGatewaySoak$$' -v ./platform
	SOAK_SECONDS=$(SECONDS) SOAK_SEED=$(SEED) go test -count=1 -timeout 0 -run '^TestSoak$$' -v ./process/server

lint: $(BIN)/golangci-lint-$(GOLANGCI_VERSION)
	$(BIN)/golangci-lint-$(GOLANGCI_VERSION) fmt --diff
	$(BIN)/golangci-lint-$(GOLANGCI_VERSION) run

format: $(BIN)/golangci-lint-$(GOLANGCI_VERSION)
	$(BIN)/golangci-lint-$(GOLANGCI_VERSION) fmt

$(BIN)/golangci-lint-$(GOLANGCI_VERSION):
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(BIN)/golangci-lint $@

generate:
	GOBIN=$(BIN) go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	GOBIN=$(BIN) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	GOBIN=$(BIN) go install connectrpc.com/connect/cmd/protoc-gen-connect-go@$(PROTOC_GEN_CONNECT_GO_VERSION)
	PATH=$(BIN):$$PATH buf generate
