BIN := bin
COMMANDS := arbutusspan arbutusctl standin spanload

.PHONY: build test lint tools demo bench experiment capacity chaos soak clean

# make demo KEEP=1 leaves everything up until Ctrl-C.
KEEP :=

build:
	go build -o $(BIN)/ ./cmd/...

# Tests listed in KNOWN-RED.txt run last: the file is printed, and their failure does not fail the target.
KNOWN_RED := $(shell grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt 2>/dev/null | paste -sd'|')

# The black-box tests build the programs themselves, which the test cache does not see. They and those of platform/, which play deployments, take minutes.
test:
	go test -race -timeout 5m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $$(go list ./... | grep -vE 'arbutusspan/(test|platform)$$')
	go test -race -timeout 10m -count=1 $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./platform ./test
	$(if $(KNOWN_RED),@cat KNOWN-RED.txt; go test -race -timeout 5m -count=1 -run '^($(KNOWN_RED))$$' ./... | grep -v 'no test' || true)

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

# gopls renames identifiers over the whole tree: gopls rename -w FILE:LINE:COLUMN NEWNAME
tools:
	go install golang.org/x/tools/gopls@v0.22.0

demo: build
	$(BIN)/spanload demo $(if $(KEEP),--keep)

bench: build
	$(BIN)/spanload bench

# FLAGS chooses cells, for example make experiment FLAGS="--shape trentvale --load 85 --scenario calm".
FLAGS :=
experiment: build
	$(BIN)/spanload experiment $(FLAGS)

capacity: build
	$(BIN)/spanload capacity

# make chaos SEED=7 repeats a schedule; without it a seed is drawn.
chaos: build
	$(BIN)/spanload chaos $(if $(SEED),--seed $(SEED))

# make soak draws seeds; make soak SEED=7 repeats one, SEEDS=50 plays that many in a row.
soak: build
	$(BIN)/spanload soak $(if $(SEED),--seed $(SEED)) $(if $(SEEDS),--seeds $(SEEDS))

clean:
	rm -rf $(BIN)
