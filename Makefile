# Targets that need more than one go command. For the tests see README.md.
FUZZTIME ?= 30s

.PHONY: fuzz
fuzz:
	go test ./internal/dataplane/http1 -run none -fuzz FuzzRequest -fuzztime $(FUZZTIME)
	go test ./internal/dataplane/http1 -run none -fuzz FuzzResponse -fuzztime $(FUZZTIME)
	go test ./internal/transport/rpc -run none -fuzz FuzzFrames -fuzztime $(FUZZTIME)
	go test ./internal/config/nodefile -run none -fuzz FuzzParse -fuzztime $(FUZZTIME)
	go test ./internal/pkg/msgpackreader -run none -fuzz FuzzSkip -fuzztime $(FUZZTIME)
	go test ./internal/config/meshconfig -run none -fuzz 'FuzzConfig$$' -fuzztime $(FUZZTIME)
	go test ./internal/config/meshconfig -run none -fuzz FuzzConfigCost -fuzztime $(FUZZTIME)
	go test ./internal/controlplane/store -run none -fuzz FuzzRecovery -fuzztime $(FUZZTIME)
	go test ./internal/pkg/bytedelta -run none -fuzz FuzzDelta -fuzztime $(FUZZTIME)

# Model checking and simulation of package raft: see docs/verification.md.
SEEDS ?= 10000
WALKS ?= 20000

.PHONY: verify
verify:
	go run ./cmd/meshlab check --walks $(WALKS)
	go test ./internal/controlplane/raft -run Linearizable -v -timeout 0 -seeds $(SEEDS)
