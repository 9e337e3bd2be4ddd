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

// content is what a store should hold.
type content struct {
	hard     *wire.HardState
	snapshot *wire.RaftSnapshot
	entries  []*wire.Entry // behind the snapshot
}

func (c content) last() uint64 { return c.snapshot.GetIndex() + uint64(len(c.entries)) }

// with is the content after a Save.
func (c content) with(b store.Batch) content {
	if b.HardState != nil {
		c.hard = b.HardState
	}
	if s := b.Snapshot; s != nil {
		if b.ReplacesLog || s.Index >= c.last() {
			c.entries = nil
		} else {
			c.entries = c.entries[s.Index-c.snapshot.GetIndex():]
		}
		c.snapshot = s
	}
	if len(b.Entries) > 0 {
		keep := b.Entries[0].Index - c.snapshot.GetIndex() - 1
		c.entries = append(c.entries[:keep:keep], b.Entries...)
	}
	return c
}

// heldBy reports whether a store holds this content, with the tail in front of it if there is one.
func (c content) heldBy(s *store.Store) error {
	if !proto.Equal(s.HardState, c.hard) && (s.HardState != nil || c.hard != nil) {
		return fmt.Errorf("the vote is %v, not %v", s.HardState, c.hard)
	}
	if s.Snapshot.GetIndex() != c.snapshot.GetIndex() || s.Snapshot.GetTerm() != c.snapshot.GetTerm() || !bytes.Equal(s.Snapshot.GetData(), c.snapshot.GetData()) {
		return fmt.Errorf("the snapshot is at %d, not %d", s.Snapshot.GetIndex(), c.snapshot.GetIndex())
	}
	if len(s.Entries) != len(c.entries) {
		return fmt.Errorf("%d entries behind %d, not %d", len(s.Entries), s.Snapshot.GetIndex(), len(c.entries))
	}
	for i, e := range s.Entries {
		if !proto.Equal(e, c.entries[i]) {
			return fmt.Errorf("entry %d is of term %d, and %d of term %d was saved", e.Index, e.Term, c.entries[i].Index, c.entries[i].Term)
		}
	}
	for i, e := range s.Tail {
		if e.Index != s.Snapshot.Index-uint64(len(s.Tail)-1-i) {
			return fmt.Errorf("the tail has entry %d at place %d of %d", e.Index, i, len(s.Tail))
		}
	}
	return nil
}

// someBytes are as long as it takes to fill the database's files within a few writes.
func someBytes(rng *rand.Rand, most int) []byte {
	return bytes.Repeat([]byte{byte(1 + rng.IntN(255))}, rng.IntN(most)+1)
}

// nextBatch is a Save that a member could ask for, with what it takes to prepare it.
func nextBatch(s *store.Store, c content, rng *rand.Rand) (store.Batch, error) {
	term := c.hard.GetTerm() + 1
	switch kind := rng.IntN(8); {
	case kind == 0 && len(c.entries) > 0: // an own snapshot, with a tail in front of it
		e := c.entries[rng.IntN(len(c.entries))]
		snapshot := &wire.RaftSnapshot{Term: e.Term, Index: e.Index, Data: someBytes(rng, 200<<10)}
		staged, err := s.Stage(snapshot.Index, snapshot.Data)
		first := e.Index - min(e.Index-1, uint64(rng.IntN(20)))
		return store.Batch{Snapshot: snapshot, Staged: staged, First: first}, err
	case kind == 1: // a leader's snapshot, in pieces
		snapshot := &wire.RaftSnapshot{Term: term, Index: c.snapshot.GetIndex() + 1 + uint64(rng.IntN(30))}
		snapshot.Data = someBytes(rng, 200<<10)
		staged, err := receive(s, snapshot.Index, snapshot.Data)
		return store.Batch{Snapshot: snapshot, Staged: staged, ReplacesLog: true, HardState: &wire.HardState{Term: term}}, err
	default:
		from := c.last() + 1
		if rng.IntN(4) == 0 { // another leader's take the place of some
			from -= uint64(rng.IntN(len(c.entries) + 1))
		}
		b := store.Batch{HardState: &wire.HardState{Term: term, Vote: rng.Uint64N(5)}}
		for i := range uint64(rng.IntN(5) + 1) {
			b.Entries = append(b.Entries, &wire.Entry{Term: term, Index: from + i, Data: someBytes(rng, 40<<10)})
		}
		return b, nil
	}
}

func receive(s *store.Store, index uint64, data []byte) (*store.StagedSnapshot, error) {
	incoming, err := s.Receive(index, uint64(len(data)), store.Checksum(data))
	if err != nil {
		return nil, err
	}
	defer incoming.Close()
	for at := incoming.Offset(); at < uint64(len(data)); at = incoming.Offset() {
		if err := incoming.Write(data[at:min(at+64<<10, uint64(len(data)))]); err != nil {
			return nil, err
		}
	}
	return incoming.Finish()
}

// disk is what a member's disk must hold.
type disk struct {
	id     uint64  // 0: not drawn yet
	saved  content // by the last Save that has returned
	saving content // by the Save that had begun since, if it is there
}

// open opens the store in a folder and returns it if it holds what was saved for sure, or what was being saved, which is
// what the member goes on from.
func (d disk) open(folder *simdisk.Folder, rng *rand.Rand) (*store.Store, disk, error) {
	s, err := store.OpenFolder(folder, rng)
	if err != nil {
		return nil, disk{}, err
	}
	if d.id != 0 && s.ID != d.id {
		return nil, disk{}, fmt.Errorf("the identity %x is lost", d.id)
	}
	wrong := d.saved.heldBy(s)
	switch {
	case wrong == nil:
		return s, disk{id: s.ID, saved: d.saved, saving: d.saved}, nil
	case d.saving.heldBy(s) == nil:
		return s, disk{id: s.ID, saved: d.saving, saving: d.saving}, nil
	}
	return nil, disk{}, wrong
}

// member is one whose power goes now and then.
type member struct {
	folder *simdisk.Folder
	disk   disk
	saves  int
}

// reopen opens the store after a loss of power, and closes it again.
func (m *member) reopen(rng *rand.Rand) error {
	s, found, err := m.disk.open(m.folder, rng)
	if err != nil {
		return err
	}
	m.disk = found
	return s.Close()
}

// process is what runs on a member's machine from one loss of power to the next. The loss stops it at its next operation
// on the folder; what it does in memory until then is seen by nobody, but it may go on beside the test, which shares
// nothing with it beyond this.
type process struct {
	folder *simdisk.Folder
	rng    *rand.Rand

	mu    sync.Mutex
	disk  disk
	saves int
}

// runUntilPowerLoss starts a process that opens the store and saves batch after batch, and returns once it has lost its
// power, or with the error that ended it before. The power goes after so many operations on the folder.
func (m *member) runUntilPowerLoss(operations int, rng *rand.Rand) error {
	m.folder.PowerOffAfter(operations)
	before := m.disk
	p := &process{folder: m.folder, rng: rng, disk: before}
	ended := make(chan error, 1)
	go func() { ended <- p.run(before) }()
	select {
	case err := <-ended:
		return fmt.Errorf("with a disk that works: %w", err)
	case <-m.folder.PowerLost():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m.disk = p.disk
	m.saves += p.saves
	return nil
}

// run does not return as long as the disk does what it is asked for: the loss of power stops it.
func (p *process) run(before disk) error {
	s, now, err := before.open(p.folder, p.rng)
	if err != nil {
		return err
	}
	for {
		batch, err := nextBatch(s, now.saved, p.rng)
		if err != nil {
			return err
		}
		now.saving = now.saved.with(batch)
		p.note(now, 0)
		if err := s.Save(batch); err != nil {
			return err
		}
		now.saved = now.saving
		p.note(now, 1)
	}
}

// note says what the disk must hold from now on.
func (p *process) note(d disk, saves int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disk = d
	p.saves += saves
}

const (
	powerLossMembers = 15
	powerLosses      = 8 // of each member
	// powerLossSeed names the variable that makes the test program play one member and print how often it saved. What a
	// loss of power stops never ends, so each member has a program of its own, whose end frees all of it.
	powerLossSeed = "IVYDECK_TEST_POWER_LOSS_SEED"
)

func TestMain(m *testing.M) {
	text := os.Getenv(powerLossSeed)
	if text == "" {
		os.Exit(m.Run())
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		log.Fatal(err)
	}
	saves, err := losePower(seed)
	if err != nil {
		log.Fatal(err)
	}
	fmt.Println(saves)
}

// losePower plays one member through its losses of power.
func losePower(seed uint64) (saves int, err error) {
	rng := rand.New(rand.NewPCG(seed, 11))
	m := &member{folder: simdisk.NewFolder()}
	for range powerLosses {
		// The process has numbers of its own: it may still draw some when the test goes on.
		processRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		if err := m.runUntilPowerLoss(1+rng.IntN(400), processRNG); err != nil {
			return m.saves, err
		}
		m.folder = m.folder.Crash(rng)
		if err := m.reopen(rng); err != nil {
			return m.saves, fmt.Errorf("after a loss of power: %w", err)
		}
	}
	return m.saves, nil
}

// TestPowerLosses: the power goes at any operation on the folder, and each name in it that was not synced is kept or lost
// by itself. The store opens as it was after the last Save that returned, or the one that had begun: never damaged, never
// older.
func TestPowerLosses(t *testing.T) {
	var saves atomic.Int64
	t.Run("members", func(t *testing.T) {
		for seed := range powerLossMembers {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				program := exec.Command(os.Args[0])
				program.Env = append(os.Environ(), powerLossSeed+"="+strconv.Itoa(seed))
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
		t.Errorf("%d saves in %d losses: hardly a test", saves.Load(), powerLossMembers*powerLosses)
	}
	t.Logf("%d saves, %d losses of power", saves.Load(), powerLossMembers*powerLosses)
}
