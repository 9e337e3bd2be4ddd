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
	Dir string `arg:"" type:"existingdir" help:"data_dir of the machine."`
}

func (c *verifyCmd) Run() error {
	s, err := store.Inspect(c.Dir)
	if err != nil {
		return err
	}
	state := catalog.New()
	if s.Snapshot.GetIndex() > 0 {
		if err := state.Restore(s.Snapshot.Data); err != nil {
			return fmt.Errorf("restore snapshot at index %d: %w", s.Snapshot.Index, err)
		}
	}
	if err := s.Verify(); err != nil {
		return err
	}
	fmt.Printf("identity %016x: verified %d entries from index %d to %d; the snapshot contains revision %d and %d servers\n",
		s.ID, len(s.Entries), s.Snapshot.GetIndex()+1, s.Snapshot.GetIndex()+uint64(len(s.Entries)), state.Revision(), len(state.Servers()))
	return nil
}

type inspectCmd struct {
	Dir string `arg:"" type:"existingdir" help:"data_dir of the machine."`
}

func (c *inspectCmd) Run() error {
	s, err := store.Inspect(c.Dir)
	if err != nil {
		return err
	}
	fmt.Printf("identity %016x\nterm %d, vote %016x\nsnapshot at index %d, %d bytes\nentries %d\n", s.ID, s.HardState.GetTerm(), s.HardState.GetVote(),
		s.Snapshot.GetIndex(), len(s.Snapshot.GetData()), len(s.Entries))
	for _, p := range s.Snapshot.GetPeers().GetPeers() {
		fmt.Printf("member in the snapshot: %016x at %s, voter %v\n", p.Id, p.Address, p.Voter)
	}
	return nil
}

type backupCmd struct {
	quorumFlags
	File string `arg:"" help:"File to create; it must not exist."`
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
	Dir  string `arg:"" type:"existingdir" help:"data_dir of the machine."`
	File string `arg:"" help:"File to create; it must not exist."`
}

func (c *exportCmd) Run() error {
	b, uncommitted, err := backup.OfStore(c.Dir)
	if err != nil {
		return err
	}
	if err := b.Save(c.File); err != nil {
		return err
	}
	fmt.Printf("%s: %s; the last %d changes may not have been acknowledged\n", c.File, b.Summary(), uncommitted)
	return nil
}

type showCmd struct {
	File   string `arg:"" type:"existingfile"`
	Output string `help:"Output format of the configuration: json or table." enum:"json,table" default:"table"`
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
	File     string `arg:"" type:"existingfile" help:"Backup to restore."`
	Dir      string `arg:"" help:"data_dir of the machine; it must be empty or not exist."`
	Internal string `required:"" placeholder:"HOST:PORT" help:"Address of the machine's internal listener: its ip_address and the first of its internal_ports."`
	Control  string `required:"" placeholder:"HOST:PORT" help:"listeners.control_plane of the machine."`
	Was      string `type:"existingdir" placeholder:"DIR" help:"Data folder of a member of the old quorum. If it holds changes that the backup lacks, the command reports them and fails, unless --lose is set."`
	Lose     bool   `help:"Restore even if changes are lost."`
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
			return fmt.Errorf("%s; use --lose to restore anyway, or export that folder instead", loss)
		}
	}
	if err := b.Restore(c.Dir, c.Internal, c.Control, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))); err != nil {
		return err
	}
	fmt.Printf("%s: restored %s, as the only member of a new quorum.\n", c.Dir, b.Summary())
	fmt.Println("Start this machine with bootstrap=false, then the others with empty folders, bootstrap=false and this machine among their seeds.")
	fmt.Println("Do not start a machine of the old quorum with its old folder: it would form a second quorum.")
	return nil
}
