# Each target needs nothing but Go and make.

GO ?= go
BINARY := bin/dalehook
SEEDS ?= 200
LOGS ?=

# The tests named in KNOWN-RED.txt are the only ones passed over.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',)

# The packages whose code and tests start no goroutine, which .ci/check-sequential checks.
# The simulator's tests play independent seeds side by side; each seed is sequential.
SEQUENTIAL := $(addprefix ./internal/,admission batch core directory explain follower idempotency lease lengths \
	membership operator overload placement planner pool quarantine quota record request reward rollout routetable routing scheduler \
	settings sim/... weights)
# The test process of platform/abuse has more goroutines than the race detector bears; the program is a process of its own.
CONCURRENT = $(filter-out $(shell $(GO) list $(SEQUENTIAL) ./platform/abuse),$(shell $(GO) list ./...))

.PHONY: build demo test race simulate soak soak-processes abuse bench lint clean

build:
	$(GO) build -o $(BINARY) ./cmd/dalehook

# Everything in one process on loopback sockets; ends with a table and a JSON line.
demo: build
	./$(BINARY) demo

# Each test runs once, whole: here what starts no goroutine, with the simulation on its
# fixed seeds, and under the race detector (make race) all the rest. The fleets of 300 to 2,000
# nodes on a virtual clock run here, and smaller under the race detector.
test:
	@test ! -s KNOWN-RED.txt || { echo "Passed over (KNOWN-RED.txt):"; cat KNOWN-RED.txt; }
	./.ci/check-sequential $(SEQUENTIAL)
	$(GO) test -count=1 -timeout 15m $(SKIP) $(SEQUENTIAL)
	$(GO) test -count=1 -timeout 15m -run '^Test(AFleetIsBack|NodesThatTheStore|ALargeConfiguration|AWholeFleetStarts)' $(SKIP) ./internal/frontend
	$(GO) test -count=1 -timeout 15m -run '^TestAFleet' $(SKIP) ./internal/serverlist
	$(GO) test -count=1 -timeout 15m $(SKIP) ./platform/abuse

race:
	$(GO) test -count=1 -race -timeout 30m $(SKIP) $(CONCURRENT)

# The simulation on its fixed seeds, which is a part of "make test".
simulate:
	$(GO) test -count=1 -timeout 20m -run '^TestFixed' $(SKIP) ./internal/sim/...

# The simulation on many seeds; SEEDS=n changes how many.
soak:
	$(GO) test -count=1 -timeout 60m -run '^TestSoak$$' -v ./internal/sim -seeds=$(SEEDS)

# Real processes under faults from outside, on fresh seeds; LOGS=directory keeps the
# logs of those that fail.
soak-processes:
	$(GO) test -count=1 -timeout 60m -run '^TestFreshSeeds$$' -v ./platform/soak -seeds=$(SEEDS) -logs=$(LOGS)

# Clients that misbehave, each at each of its paths, against a real process.
abuse:
	$(GO) test -count=1 -timeout 90m -run '^TestClientsThatMisbehave$$' -v ./platform/abuse -grid -logs=$(LOGS)

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

lint:
	@unformatted=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

clean:
	rm -rf bin
