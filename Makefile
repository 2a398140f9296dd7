# Builds, tests and demonstrates sycamoredeck. Requires Go, a C compiler and make; other
# tools are installed into .tools at pinned versions.
TOOLS := $(CURDIR)/.tools
BUF_VERSION := v1.75.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_GO_GRPC_VERSION := v1.6.2
GOLANGCI_LINT_VERSION := v2.15.0

export PATH := $(TOOLS):$(PATH)
export CGO_ENABLED := 1

.PHONY: all build demo test unit lint vet generate generate-check format bench fuzz clean

all: build

build:
	go build -o bin/ ./cmd/...

# Runs the whole system on this machine, with calls, jobs and killed processes.
demo: build
	./scripts/demo.sh

# Runs what CI runs: formatter, linter, vet, and all tests under the race detector.
test: build lint vet unit

unit:
	./scripts/unit.sh

vet:
	go vet ./...

lint: $(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION)
	$(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION) fmt --diff
	$(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION) run

format: $(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION)
	$(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION) fmt

# Fuzzes the decoders. CI runs TestDamagedMessages with a fixed seed instead.
FUZZ_TIME ?= 30s
fuzz:
	go test ./platform -run '^$$' -fuzz FuzzDecoders -fuzztime $(FUZZ_TIME)

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

# Regenerates the code from the schema.
generate: $(TOOLS)/buf-$(BUF_VERSION) $(TOOLS)/protoc-gen-go-$(PROTOC_GEN_GO_VERSION) $(TOOLS)/protoc-gen-go-grpc-$(PROTOC_GEN_GO_GRPC_VERSION)
	ln -sf protoc-gen-go-$(PROTOC_GEN_GO_VERSION) $(TOOLS)/protoc-gen-go
	ln -sf protoc-gen-go-grpc-$(PROTOC_GEN_GO_GRPC_VERSION) $(TOOLS)/protoc-gen-go-grpc
	$(TOOLS)/buf-$(BUF_VERSION) format -w
	$(TOOLS)/buf-$(BUF_VERSION) lint
	$(TOOLS)/buf-$(BUF_VERSION) generate

# Fails if the committed generated code is out of date.
generate-check: generate
	git diff --exit-code -- proto internal/schema

$(TOOLS)/buf-$(BUF_VERSION):
	GOBIN=$(TOOLS) go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	mv $(TOOLS)/buf $@

$(TOOLS)/protoc-gen-go-$(PROTOC_GEN_GO_VERSION):
	GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	mv $(TOOLS)/protoc-gen-go $@

$(TOOLS)/protoc-gen-go-grpc-$(PROTOC_GEN_GO_GRPC_VERSION):
	GOBIN=$(TOOLS) go install google.golang.org/grpc/cmd/protoc-gen-go-grpc@$(PROTOC_GEN_GO_GRPC_VERSION)
	mv $(TOOLS)/protoc-gen-go-grpc $@

$(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	mv $(TOOLS)/golangci-lint $@

clean:
	rm -rf bin
