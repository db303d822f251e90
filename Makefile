GO ?= go
BIN := bin

.PHONY: all build demo test check unit models examples measure soak race capacity clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/hornbeam-demo --bin $(BIN)

# test gives one verdict: static checks, model checking, example bundles, unit and process tests.
test: check models examples unit

check:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "files above are not gofmt clean"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	sh .ci/unit

models:
	@command -v spin >/dev/null 2>&1 || { apt-get update -qq && apt-get install -y -qq spin; }
	sh spec/check

examples: build
	$(BIN)/hornbeamctl bundle check examples/ireland.toml examples/srilanka.toml

measure: build
	$(BIN)/hornbeam-measure --out docs/measurements/load.md

# soak runs the fault soak of the platform's programs on SEEDS seeds from FIRST.
SEEDS ?= 50
FIRST ?= 1000
soak:
	$(GO) test ./test/soak -timeout 60m -args -seeds $(SEEDS) -first $(FIRST)

# race runs the soak and the cuts of entry hosts with programs that the race detector watches.
RACE_SEEDS ?= 24
race:
	$(GO) test -race -count=1 ./test/soak -timeout 60m -args -programs-race -seeds $(RACE_SEEDS) -first $(FIRST)

capacity: build
	$(BIN)/hornbeam-capacity

clean:
	rm -rf $(BIN)
