.PHONY: build test race lint fmt try generate ci

build:
	go build -o bin/ ./cmd/...

# Runs every test with the race detector; -shuffle keeps a fixed order for the same verdict every time. SKIP holds the
# names of known failing tests, separated by |.
test:
	go test -race -shuffle=off $(if $(SKIP),-skip '^($(SKIP))$$') ./...

lint:
	go vet ./...
	go tool staticcheck ./...

fmt:
	gofmt -l -w cmd internal pkg platform

# Starts a single-process system on loopback, sends a streamed model call and an order, prints each decision.
try:
	go run ./cmd/mulberryglade-dev --demo

# Regenerates proto code. Only needed after a change under proto/; the generated code is committed.
generate:
	GOBIN=$(CURDIR)/bin go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	GOBIN=$(CURDIR)/bin go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.21.1
	GOBIN=$(CURDIR)/bin go install github.com/bufbuild/buf/cmd/buf@v1.75.0
	PATH="$(CURDIR)/bin:$$PATH" bin/buf generate

ci:
	bash .ci/run
