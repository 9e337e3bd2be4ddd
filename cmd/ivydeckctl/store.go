package main

import (
	"context"
	"fmt"
	"math/rand/v2"

	"ivydeck/internal/controlplane/backup"
	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/store"
)

type verifyCmd struct {
	Dir string `arg:"" type:"existingdir" help:"The machine's data_dir."`
}

func (c *verifyCmd) Run() error {
	s, err := store.Inspect(c.Dir)
	if err != nil {
		return err
	}
	state := catalog.New()
	if s.Snapshot.GetIndex() > 0 {
		if err := state.Restore(s.Snapshot.Data); err != nil {
			return fmt.Errorf("the snapshot at %d: %w", s.Snapshot.Index, err)
		}
	}
	if err := s.Verify(); err != nil {
		return err
	}
	fmt.Printf("identity %016x: %d entries from %d to %d, none damaged; revision %d and %d servers at the snapshot\n",
		s.ID, len(s.Entries), s.Snapshot.GetIndex()+1, s.Snapshot.GetIndex()+uint64(len(s.Entries)), state.Revision(), len(state.Servers()))
	return nil
}

type inspectCmd struct {
	Dir string `arg:"" type:"existingdir" help:"The machine's data_dir."`
}

func (c *inspectCmd) Run() error {
	s, err := store.Inspect(c.Dir)
	if err != nil {
		return err
	}
	fmt.Printf("identity %016x\nterm %d, vote %016x\nsnapshot at %d, %d bytes\nentries %d\n", s.ID, s.HardState.GetTerm(), s.HardState.GetVote(),
		s.Snapshot.GetIndex(), len(s.Snapshot.GetData()), len(s.Entries))
	for _, p := range s.Snapshot.GetPeers().GetPeers() {
		fmt.Printf("member at the snapshot: %016x at %s, voter %v\n", p.Id, p.Address, p.Voter)
	}
	return nil
}

type backupCmd struct {
	quorumFlags
	File string `arg:"" help:"It must not exist yet."`
}

func (c *backupCmd) Run(ctx context.Context) error {
	quorum, err := c.client()
	if err != nil {
		return err
	}
	b, err := quorum.Backup(ctx)
	if err != nil {
		return err
	}
	if err := b.Save(c.File); err != nil {
		return err
	}
	fmt.Printf("%s: %s\n", c.File, b.Summary())
	return nil
}

type exportCmd struct {
	Dir  string `arg:"" type:"existingdir" help:"The machine's data_dir."`
	File string `arg:"" help:"It must not exist yet."`
}

func (c *exportCmd) Run() error {
	b, beyond, err := backup.OfStore(c.Dir)
	if err != nil {
		return err
	}
	if err := b.Save(c.File); err != nil {
		return err
	}
	fmt.Printf("%s: %s; the last %d changes are on this disk, and may not have been acknowledged\n", c.File, b.Summary(), beyond)
	return nil
}

type showCmd struct {
	File   string `arg:"" type:"existingfile"`
	Output string `help:"json or table, of its configuration." enum:"json,table" default:"table"`
}

func (c *showCmd) Run() error {
	b, err := backup.Load(c.File)
	if err != nil {
		return err
	}
	if c.Output == "table" {
		fmt.Println(b.Summary())
	}
	if b.State.Config() == nil {
		return nil
	}
	return show(b.State.Config(), c.Output)
}

type restoreCmd struct {
	File     string `arg:"" type:"existingfile" help:"A backup."`
	Dir      string `arg:"" help:"The machine's data_dir, empty or not there yet."`
	Internal string `required:"" placeholder:"HOST:PORT" help:"Where the machine listens to nodes: its ip_address and the first of its internal_ports."`
	Control  string `required:"" placeholder:"HOST:PORT" help:"Its listeners.control_plane."`
	Was      string `type:"existingdir" placeholder:"DIR" help:"A folder that is left of the old core: say what of it the backup lacks, and stop there unless --lose is given."`
	Lose     bool   `help:"Go on although changes are lost."`
}

func (c *restoreCmd) Run() error {
	b, err := backup.Load(c.File)
	if err != nil {
		return err
	}
	if c.Was != "" {
		loss, err := b.Loss(c.Was)
		if err != nil {
			return err
		}
		if loss != "" && !c.Lose {
			return fmt.Errorf("%s; give --lose to go on, or export that folder instead", loss)
		}
	}
	if err := b.Restore(c.Dir, c.Internal, c.Control, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))); err != nil {
		return err
	}
	fmt.Printf("%s holds %s, as the one machine of a new core.\n", c.Dir, b.Summary())
	fmt.Println("Start it with bootstrap=false, then the others with empty folders, bootstrap=false and this one among their seeds.")
	fmt.Println("No machine of the old core may start with its old folder: it would be a second core.")
	return nil
}
