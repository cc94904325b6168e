BIN := bin
COMMANDS := arbutusspan arbutusctl standin spanload

.PHONY: build test lint demo bench experiment capacity chaos soak clean

# make demo KEEP=1 leaves everything up until Ctrl-C.
KEEP :=

build:
	go build -o $(BIN)/ ./cmd/...

# The black-box tests build the programs themselves, which the test cache does not see.
test:
	go test -race -timeout 5m $$(go list ./... | grep -v /test$$)
	go test -race -timeout 10m -count=1 ./test

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

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
