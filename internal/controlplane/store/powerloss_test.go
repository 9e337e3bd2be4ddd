package store_test

import (
	"bytes"
	"fmt"
	"log"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

// content is the expected content of a store.
type content struct {
	hardState *wire.HardState
	snapshot  *wire.RaftSnapshot
	entries   []*wire.Entry // entries after the snapshot
}

func (c content) last() uint64 { return c.snapshot.GetIndex() + uint64(len(c.entries)) }

// after returns the content after a Save of a batch.
func (c content) after(batch store.Batch) content {
	if batch.HardState != nil {
		c.hardState = batch.HardState
	}
	if s := batch.Snapshot; s != nil {
		if batch.ReplacesLog || s.Index >= c.last() {
			c.entries = nil
		} else {
			c.entries = c.entries[s.Index-c.snapshot.GetIndex():]
		}
		c.snapshot = s
	}
	if len(batch.Entries) > 0 {
		keep := batch.Entries[0].Index - c.snapshot.GetIndex() - 1
		c.entries = append(c.entries[:keep:keep], batch.Entries...)
	}
	return c
}

// check returns an error unless a store holds this content, and a tail that is contiguous with the snapshot.
func (c content) check(s *store.Store) error {
	if !proto.Equal(s.HardState, c.hardState) && (s.HardState != nil || c.hardState != nil) {
		return fmt.Errorf("hard state is %v, want %v", s.HardState, c.hardState)
	}
	if s.Snapshot.GetIndex() != c.snapshot.GetIndex() || s.Snapshot.GetTerm() != c.snapshot.GetTerm() || !bytes.Equal(s.Snapshot.GetData(), c.snapshot.GetData()) {
		return fmt.Errorf("snapshot at index %d differs from the expected one at index %d", s.Snapshot.GetIndex(), c.snapshot.GetIndex())
	}
	if len(s.Entries) != len(c.entries) {
		return fmt.Errorf("%d entries after the snapshot at index %d, want %d", len(s.Entries), s.Snapshot.GetIndex(), len(c.entries))
	}
	for i, e := range s.Entries {
		if !proto.Equal(e, c.entries[i]) {
			return fmt.Errorf("entry %d of term %d differs from the saved entry %d of term %d", e.Index, e.Term, c.entries[i].Index, c.entries[i].Term)
		}
	}
	for i, e := range s.Tail {
		if e.Index != s.Snapshot.Index-uint64(len(s.Tail)-1-i) {
			return fmt.Errorf("tail has entry %d at position %d of %d", e.Index, i, len(s.Tail))
		}
	}
	return nil
}

// randomData returns 1 to maxLength equal bytes. Large data makes the database rotate its files within a few writes.
func randomData(rng *rand.Rand, maxLength int) []byte {
	return bytes.Repeat([]byte{byte(1 + rng.IntN(255))}, rng.IntN(maxLength)+1)
}

// randomBatch returns a valid batch for a store with the given content. It stages the snapshot of the batch, if any.
func randomBatch(s *store.Store, current content, rng *rand.Rand) (store.Batch, error) {
	term := current.hardState.GetTerm() + 1
	switch kind := rng.IntN(8); {
	case kind == 0 && len(current.entries) > 0: // the member's own snapshot, with a tail before it
		entry := current.entries[rng.IntN(len(current.entries))]
		snapshot := &wire.RaftSnapshot{Term: entry.Term, Index: entry.Index, Data: randomData(rng, 200<<10)}
		staged, err := s.Stage(snapshot.Index, snapshot.Data)
		first := entry.Index - min(entry.Index-1, uint64(rng.IntN(20)))
		return store.Batch{Snapshot: snapshot, Staged: staged, First: first}, err
	case kind == 1: // a leader's snapshot, received in chunks
		snapshot := &wire.RaftSnapshot{Term: term, Index: current.snapshot.GetIndex() + 1 + uint64(rng.IntN(30))}
		snapshot.Data = randomData(rng, 200<<10)
		staged, err := receive(s, snapshot.Index, snapshot.Data)
		return store.Batch{Snapshot: snapshot, Staged: staged, ReplacesLog: true, HardState: &wire.HardState{Term: term}}, err
	default:
		from := current.last() + 1
		if rng.IntN(4) == 0 { // entries of another leader overwrite the end of the log
			from -= uint64(rng.IntN(len(current.entries) + 1))
		}
		batch := store.Batch{HardState: &wire.HardState{Term: term, Vote: rng.Uint64N(5)}}
		for i := range uint64(rng.IntN(5) + 1) {
			batch.Entries = append(batch.Entries, &wire.Entry{Term: term, Index: from + i, Data: randomData(rng, 40<<10)})
		}
		return batch, nil
	}
}

func receive(s *store.Store, index uint64, data []byte) (*store.StagedSnapshot, error) {
	incoming, err := s.Receive(index, uint64(len(data)), store.Checksum(data))
	if err != nil {
		return nil, err
	}
	defer incoming.Close()
	for offset := incoming.Offset(); offset < uint64(len(data)); offset = incoming.Offset() {
		if err := incoming.Write(data[offset:min(offset+64<<10, uint64(len(data)))]); err != nil {
			return nil, err
		}
	}
	return incoming.Finish()
}

// diskState is the expected content of a member's disk.
type diskState struct {
	id     uint64  // 0 before the store is created
	saved  content // content after the last Save that has returned
	saving content // content after the Save in progress; equal to saved if there is none
}

// openAndCheck opens the store in a folder and checks that it holds the saved content or the content being saved. It returns
// the store and a state whose saved content is the one found.
func (d diskState) openAndCheck(folder *simdisk.Folder, rng *rand.Rand) (*store.Store, diskState, error) {
	s, err := store.OpenFolder(folder, rng)
	if err != nil {
		return nil, diskState{}, err
	}
	if d.id != 0 && s.ID != d.id {
		return nil, diskState{}, fmt.Errorf("identity %x was lost", d.id)
	}
	mismatch := d.saved.check(s)
	switch {
	case mismatch == nil:
		return s, diskState{id: s.ID, saved: d.saved, saving: d.saved}, nil
	case d.saving.check(s) == nil:
		return s, diskState{id: s.ID, saved: d.saving, saving: d.saving}, nil
	}
	return nil, diskState{}, mismatch
}

// member is a simulated member that repeatedly loses power.
type member struct {
	folder   *simdisk.Folder
	expected diskState
	saves    int
}

// reopen opens and checks the store after a power loss, and closes it again.
func (m *member) reopen(rng *rand.Rand) error {
	s, found, err := m.expected.openAndCheck(m.folder, rng)
	if err != nil {
		return err
	}
	m.expected = found
	return s.Close()
}

// process runs on a member's machine between two power losses. After a loss, its next operation on the folder blocks
// forever. Until then it may run concurrently with the test, which therefore reads only the fields under mu.
type process struct {
	folder *simdisk.Folder
	rng    *rand.Rand

	mu       sync.Mutex
	expected diskState
	saves    int
}

// runUntilPowerLoss starts a process that opens the store and saves batches, and cuts the power after the given number of
// operations on the folder. It returns nil after the power loss, or the error that ended the process before it.
func (m *member) runUntilPowerLoss(operations int, rng *rand.Rand) error {
	m.folder.PowerOffAfter(operations)
	initial := m.expected
	p := &process{folder: m.folder, rng: rng, expected: initial}
	result := make(chan error, 1)
	go func() { result <- p.run(initial) }()
	select {
	case err := <-result:
		return fmt.Errorf("process failed before the power loss: %w", err)
	case <-m.folder.PowerLost():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m.expected = p.expected
	m.saves += p.saves
	return nil
}

// run opens the store and saves batches until an operation fails. A power loss blocks it forever.
func (p *process) run(initial diskState) error {
	s, state, err := initial.openAndCheck(p.folder, p.rng)
	if err != nil {
		return err
	}
	for {
		batch, err := randomBatch(s, state.saved, p.rng)
		if err != nil {
			return err
		}
		state.saving = state.saved.after(batch)
		p.setExpected(state, 0)
		if err := s.Save(batch); err != nil {
			return err
		}
		state.saved = state.saving
		p.setExpected(state, 1)
	}
}

// setExpected replaces the expected content of the disk and adds to the number of saves.
func (p *process) setExpected(d diskState, saves int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = d
	p.saves += saves
}

const (
	powerLossMembers = 15
	powerLosses      = 8 // per member
	// powerLossSeedEnv is the environment variable that makes the test binary simulate one member and print its number of
	// saves. Each member runs in its own process, since goroutines that a power loss blocks end only with the process.
	powerLossSeedEnv = "IVYDECK_TEST_POWER_LOSS_SEED"
)

func TestMain(m *testing.M) {
	seedText := os.Getenv(powerLossSeedEnv)
	if seedText == "" {
		os.Exit(m.Run())
	}
	seed, err := strconv.ParseUint(seedText, 10, 64)
	if err != nil {
		log.Fatal(err)
	}
	saves, err := runMember(seed)
	if err != nil {
		log.Fatal(err)
	}
	fmt.Println(saves)
}

// runMember simulates one member through powerLosses power losses and returns its number of saves.
func runMember(seed uint64) (saves int, err error) {
	rng := rand.New(rand.NewPCG(seed, 11))
	simulated := &member{folder: simdisk.NewFolder()}
	for range powerLosses {
		// The process has its own generator, since it may still run after the power loss.
		processRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		if err := simulated.runUntilPowerLoss(1+rng.IntN(400), processRNG); err != nil {
			return simulated.saves, err
		}
		simulated.folder = simulated.folder.Crash(rng)
		if err := simulated.reopen(rng); err != nil {
			return simulated.saves, fmt.Errorf("after a power loss: %w", err)
		}
	}
	return simulated.saves, nil
}

// TestPowerLosses cuts the power at random operations on the folder, which loses some of the unsynced changes. The store
// then opens, with the content after the last Save that returned or the one in progress.
func TestPowerLosses(t *testing.T) {
	var saves atomic.Int64
	t.Run("members", func(t *testing.T) {
		for seed := range powerLossMembers {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				program := exec.Command(os.Args[0])
				program.Env = append(os.Environ(), powerLossSeedEnv+"="+strconv.Itoa(seed))
				var stderr strings.Builder
				program.Stderr = &stderr
				output, err := program.Output()
				if err != nil {
					t.Fatalf("%v\n%s", err, stderr.String())
				}
				n, err := strconv.ParseInt(strings.TrimSpace(string(output)), 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				saves.Add(n)
			})
		}
	})
	if saves.Load() < 5*powerLossMembers*powerLosses {
		t.Errorf("%d saves in %d power losses, want at least 5 per loss: too few cases", saves.Load(), powerLossMembers*powerLosses)
	}
	t.Logf("%d saves, %d power losses", saves.Load(), powerLossMembers*powerLosses)
}
