MODULES := lib entry ctl standin load platform
BIN     := bin
SEED    ?= 1
# Tests that fail for a known fault; KNOWN-RED.txt says which one.
KNOWN_RED := $(shell sed -n 's/^skip: //p' KNOWN-RED.txt | paste -s -d '|' -)
SEEDS   ?= 5

.PHONY: all test lint fmt generate up demo prove soak bench clean

all:
	@mkdir -p $(BIN)
	go build -o $(BIN)/anvilentry ./entry
	go build -o $(BIN)/anvilctl ./ctl
	go build -o $(BIN)/anvilplatform ./standin
	go build -o $(BIN)/anvilload ./load
	go build -o $(BIN)/anvilnode ./platform

test: all
	go test $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $(addprefix ./,$(addsuffix /...,$(MODULES)))
	@# These tests measure memory, so they run one at a time and apart from the others.
	ANVIL_CROWD=1 go test -p 1 -count=1 $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./load/anvilcrowd
	@# The documentation pages are outside the modules, so the test cache does not notice that they change.
	go test -count=1 -run Page ./lib/anvilevent ./lib/anvilerror ./entry/anvilfront

lint:
	@for m in $(MODULES); do (cd $$m && golangci-lint run ./...) || exit 1; done

fmt:
	@for m in $(MODULES); do (cd $$m && golangci-lint fmt ./...) || exit 1; done

generate:
	buf generate

up: all
	$(BIN)/anvilload up -bin $(BIN)

demo: all
	$(BIN)/anvilload demo -bin $(BIN)

prove: all
	$(BIN)/anvilload prove -bin $(BIN) -seed $(SEED)

soak: all
	$(BIN)/anvilload soak -bin $(BIN) -seed $(SEED) -seeds $(SEEDS)

bench: all
	$(BIN)/anvilload bench -bin $(BIN) -seed $(SEED)

clean:
	rm -rf $(BIN)
