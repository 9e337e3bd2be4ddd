// Command ivydeckctl is the operator's tool of the mesh.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"ivydeck/internal/backup"
	"ivydeck/internal/catalog"
	"ivydeck/internal/control"
	"ivydeck/internal/identity"
	"ivydeck/internal/meshconfig"
	"ivydeck/internal/operator"
	"ivydeck/internal/program"
	"ivydeck/internal/store"
)

type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Config  struct {
		Check checkCmd `cmd:"" help:"Say what is wrong with a configuration."`
		Diff  diffCmd  `cmd:"" help:"List what differs between two configurations."`
		Read  readCmd  `cmd:"" help:"Print the configuration in force."`
		Apply applyCmd `cmd:"" help:"Send a configuration to the core."`
	} `cmd:"" help:"Configurations: .toml, .yaml, .json, or MessagePack."`
	Status  statusCmd  `cmd:"" help:"Print what core machines say of themselves, their members and the servers."`
	Members membersCmd `cmd:"" help:"Print the members of the core, as its leader knows them."`
	Servers serversCmd `cmd:"" help:"Print the registered servers, as the leader knows them."`
	Top     topCmd     `cmd:"" help:"Show what the nodes are doing, again and again."`
	Trace   traceCmd   `cmd:"" help:"Print the way of a request through the mesh, and of the calls that it made."`
	Store   struct {
		Inspect inspectCmd `cmd:"" help:"Print what the folder of a stopped core machine holds; nothing is changed."`
		Verify  verifyCmd  `cmd:"" help:"Check the folder of a stopped core machine, entry by entry; nothing is changed."`
		Backup  backupCmd  `cmd:"" help:"Write all that a running core has acknowledged to a file."`
		Export  exportCmd  `cmd:"" help:"The same out of the folder of a stopped core machine; nothing in it is changed."`
		Show    showCmd    `cmd:"" help:"Print what a backup holds."`
		Restore restoreCmd `cmd:"" help:"Make an empty folder the first machine of a new core, out of a backup."`
	} `cmd:"" help:"The disk of a core machine, and backups."`
	CA struct {
		Init   caInitCmd   `cmd:"" help:"Make an authority: a key, its certificate, and a bundle for all processes."`
		Issue  caIssueCmd  `cmd:"" help:"Make a key and a certificate for a machine or an operator."`
		Rotate caRotateCmd `cmd:"" help:"Put another authority in its place; the bundle trusts both until ca retire."`
		Retire caRetireCmd `cmd:"" help:"Trust the present authority alone."`
	} `cmd:"" name:"ca" help:"A small authority for those who have none."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print what to put into the shell's start file for completion."`
}

type checkCmd struct {
	File string `arg:"" type:"existingfile"`
}

func (c *checkCmd) Run() error {
	_, config, err := operator.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: revision %d, %d routes, %d backends, no fault found\n", c.File, config.Revision, len(config.Routes), len(config.Backends))
	return nil
}

type diffCmd struct {
	A string `arg:"" type:"existingfile"`
	B string `arg:"" type:"existingfile"`
}

func (c *diffCmd) Run() error {
	_, a, err := operator.Load(c.A)
	if err != nil {
		return fmt.Errorf("%s: %w", c.A, err)
	}
	_, b, err := operator.Load(c.B)
	if err != nil {
		return fmt.Errorf("%s: %w", c.B, err)
	}
	for _, line := range operator.Diff(a, b) {
		fmt.Println(line)
	}
	return nil
}

type coreFlags struct {
	Core   []string `help:"Addresses of core machines." required:"" placeholder:"HOST:PORT"`
	Cert   string   `help:"Certificate of an operator, where the core asks for one." type:"existingfile" group:"Identity" and:"identity"`
	Key    string   `help:"Its private key." type:"existingfile" group:"Identity" and:"identity"`
	Bundle string   `help:"The authorities that it trusts." type:"existingfile" group:"Identity" and:"identity"`
}

func (f *coreFlags) core() (*operator.Core, error) {
	core := &operator.Core{Addresses: f.Core}
	if f.Cert == "" {
		return core, nil
	}
	source, err := identity.Open(identity.Files{Cert: f.Cert, Key: f.Key, Bundle: f.Bundle}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return nil, err
	}
	return core.With(source), nil
}

type readCmd struct {
	coreFlags
	Output string `help:"json or table." enum:"json,table" default:"table"`
}

func (c *readCmd) Run(ctx context.Context) error {
	core, err := c.core()
	if err != nil {
		return err
	}
	_, config, err := core.Read(ctx)
	if err != nil {
		return err
	}
	if config == nil {
		return errors.New("no configuration yet")
	}
	return show(config, c.Output)
}

func show(config *meshconfig.Config, output string) error {
	if output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(config)
	}
	fmt.Printf("revision %d\n%-32s %-15s %8s %8s %8s  %s\n", config.Revision, "place", "type", "priority", "aim ms", "limit ms", "to")
	for _, r := range config.Routes {
		to := []string{r.Backend}
		for _, w := range r.Backends {
			to = append(to, fmt.Sprintf("%s:%g", w.Backend, w.Weight))
		}
		fmt.Printf("%-32s %-15s %8d %8g %8g  %s\n", r.Host+r.Prefix, r.Kind, r.Priority, r.AimMs, r.TimeoutMs, strings.Trim(strings.Join(to, " "), " "))
	}
	return nil
}

type applyCmd struct {
	coreFlags
	File string `arg:"" type:"existingfile"`
	Base int64  `help:"Revision that it builds on; the one in force where it is not given." default:"-1"`
}

func (c *applyCmd) Run(ctx context.Context) error {
	body, config, err := operator.Load(c.File)
	if err != nil {
		return err
	}
	core, err := c.core()
	if err != nil {
		return err
	}
	base := uint64(c.Base)
	if c.Base < 0 {
		_, current, err := core.Read(ctx)
		if err != nil {
			return err
		}
		if base = 0; current != nil {
			base = current.Revision
		}
	}
	if err := core.Apply(ctx, base, body); err != nil {
		return err
	}
	fmt.Printf("revision %d is in force\n", config.Revision)
	return nil
}

type statusCmd struct {
	coreFlags
	Output string `help:"json or table." enum:"json,table" default:"table"`
}

func (c *statusCmd) Run(ctx context.Context) error {
	core, err := c.core()
	if err != nil {
		return err
	}
	all, errs := core.Status(ctx)
	if c.Output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return errors.Join(append(errs, enc.Encode(all))...)
	}
	for _, s := range all {
		fmt.Printf("%s: leads %v, leader %s, term %d, committed %d, revision %d\n", s.Node, s.Leads, s.Leader, s.Term, s.Commit, s.Revision)
		if !s.Leads {
			continue
		}
		for _, m := range s.Members {
			fmt.Printf("  member %s at %s, voter %v\n", m.Identity, m.Address, m.Voter)
		}
		for _, v := range s.Servers {
			fmt.Printf("  server %s of %s on %s in %s, %d slots, draining %v\n", v.Member, v.Service, v.Node, v.Zone, v.Slots, v.Draining)
		}
	}
	return errors.Join(errs...)
}

// leader returns what the leader says.
func (f *coreFlags) leader(ctx context.Context) (control.Status, error) {
	core, err := f.core()
	if err != nil {
		return control.Status{}, err
	}
	all, errs := core.Status(ctx)
	for _, s := range all {
		if s.Leads {
			return s, nil
		}
	}
	return control.Status{}, errors.Join(append(errs, errors.New("none of these machines leads"))...)
}

// table prints rows under a head, or the same as JSON.
func table(output string, value any, head string, rows func(w io.Writer)) error {
	if output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(w)
	return w.Flush()
}

type membersCmd struct {
	coreFlags
	Output string `help:"json or table." enum:"json,table" default:"table"`
}

func (c *membersCmd) Run(ctx context.Context) error {
	s, err := c.leader(ctx)
	if err != nil {
		return err
	}
	return table(c.Output, s.Members, "identity\taddress\tvotes\tleads", func(w io.Writer) {
		for _, m := range s.Members {
			fmt.Fprintf(w, "%s\t%s\t%v\t%v\n", m.Identity, m.Address, m.Voter, m.Address == s.Leader)
		}
	})
}

type serversCmd struct {
	coreFlags
	Service string `help:"Of this service alone."`
	Output  string `help:"json or table." enum:"json,table" default:"table"`
}

func (c *serversCmd) Run(ctx context.Context) error {
	s, err := c.leader(ctx)
	if err != nil {
		return err
	}
	list := slices.DeleteFunc(s.Servers, func(v control.Server) bool { return c.Service != "" && v.Service != c.Service })
	return table(c.Output, list, "server\tservice\tnode\tzone\tslots\tdraining", func(w io.Writer) {
		for _, v := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%v\n", v.Member, v.Service, v.Node, v.Zone, v.Slots, v.Draining)
		}
	})
}

type traceCmd struct {
	coreFlags
	Attempt string `arg:"" help:"Its Attempt-Id."`
	Output  string `help:"json or table." enum:"json,table" default:"table"`
}

func (c *traceCmd) Run(ctx context.Context) error {
	core, err := c.core()
	if err != nil {
		return err
	}
	t, err := core.Trace(ctx, c.Attempt)
	if err != nil {
		return err
	}
	if t.Silent > 0 {
		fmt.Fprintf(os.Stderr, "%d of %d nodes did not answer\n", t.Silent, t.Asked)
	}
	if len(t.Parts) == 0 {
		return fmt.Errorf("no node has kept anything of %s; trace.keep in their settings says how much they keep", c.Attempt)
	}
	first := t.Parts[0].AgoMs
	return table(c.Output, t, "at ms\ttook ms\tnode\tattempt\twhat\tstatus\twhy", func(w io.Writer) {
		for _, p := range t.Parts {
			what := fmt.Sprintf("enters %s for %s, %d servers", p.Route, p.Service, p.Tries)
			if !p.Entry {
				what = fmt.Sprintf("runs at %s of %s", p.Server, p.Service)
			}
			fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%d\t%s\n", first-p.AgoMs, p.TookMs, p.Node, p.Attempt, what, p.Status, p.Why)
		}
	})
}

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
	fmt.Printf("identity %016x\nterm %d, vote %016x\nsnapshot at %d, %d bytes\nentries %d\n", s.ID, s.Hard.GetTerm(), s.Hard.GetVote(),
		s.Snapshot.GetIndex(), len(s.Snapshot.GetData()), len(s.Entries))
	for _, p := range s.Snapshot.GetPeers().GetPeers() {
		fmt.Printf("member at the snapshot: %016x at %s, voter %v\n", p.Id, p.Address, p.Voter)
	}
	return nil
}

type backupCmd struct {
	coreFlags
	File string `arg:"" help:"It must not exist yet."`
}

func (c *backupCmd) Run(ctx context.Context) error {
	core, err := c.core()
	if err != nil {
		return err
	}
	b, err := core.Backup(ctx)
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

func main() {
	program.Tool("ivydeckctl", "The operator's tool of the ivydeck mesh.", new(commands))
}
