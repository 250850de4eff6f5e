# Start with "make demo" and "make test".
BIN := bin
PROGRAMS := primrose-entry primrose-keeper primrosectl standin

.PHONY: build demo test lint generate scenario chaos capacity bench measure

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ $(addprefix ./cmd/,$(PROGRAMS))

demo: build
	./scripts/demo.sh

test:
	./scripts/test.sh

lint:
	./scripts/lint.sh

generate:
	./scripts/generate.sh

# Runs one scenario: make scenario NAME=path-whole
scenario:
	@test -f scenarios/$(NAME).txtar || { echo 'no scenarios/$(NAME).txtar'; exit 2; }
	go test ./internal/scenario -run 'TestScenarios/.*/^$(NAME)$$' -v -count=1

# Runs two random faults at the same time, twice in a row: make chaos SEED=7
chaos:
	CHAOS_SEED=$(SEED) go test ./internal/scenario -run TestChaosPairs -v -count=1

# Runs the fault soak of primrose-gateway (docs/SOAK.md). Fifty seeds take about four minutes.
.PHONY: soak
soak:
	SOAK_SEED=$(or $(SEED),200) SOAK_RUNS=$(or $(RUNS),50) SOAK_SECONDS=$(or $(SECONDS),15) SOAK_VMS=$(VMS) SOAK_SERVERS=$(SERVERS) \
	  SOAK_CALLERS=$(CALLERS) go test ./internal/soak -run TestSoak -parallel 4 -timeout 1h -count=1 -v

# CAPACITY_TIME is the number of iterations of each capacity benchmark, as for -benchtime.
CAPACITY_TIME ?= 20x

# Runs the capacity benchmarks and writes docs/CAPACITY.md. Takes about two minutes.
capacity:
	./scripts/capacity.sh $(CAPACITY_TIME)

# Measures added latency and throughput for each core, and writes docs/measurements/BENCH.md. Takes about a minute.
bench: build
	go build -o $(BIN)/bench ./internal/bench/tool
	BENCH_NOTE="$$(cut -d' ' -f1 /proc/loadavg)" ./scripts/bench.sh

# Runs the users' measurements and writes docs/measurements/MEASURES.md. Takes about six minutes with five seeds.
measure: build
	go build -o $(BIN)/measure ./internal/measure/tool
	./scripts/measure.sh

# Writes docs/measurements/PLATFORM.md and its plot from the journal of the users' bench.
.PHONY: platform-page
platform-page:
	go run ./platform/benchpage
