// Command ivydeckctl is the operator's tool of the mesh.
package main

import (
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"ivydeck/internal/operator"
	"ivydeck/internal/program"
	"ivydeck/internal/transport/identity"
)

type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Config  struct {
		Check checkCmd `cmd:"" help:"Say what is wrong with a configuration."`
		Diff  diffCmd  `cmd:"" help:"List what differs between two configurations."`
		Read  readCmd  `cmd:"" help:"Print the configuration in force."`
		Apply applyCmd `cmd:"" help:"Send a configuration to the core."`
	} `cmd:"" help:"Configurations: .toml, .yaml, .json, or MessagePack."`
	Status  statusCmd  `cmd:"" help:"Print what quorum members say of themselves, their members and the servers."`
	Members membersCmd `cmd:"" help:"Print the members of the core, as its leader knows them."`
	Member  struct {
		Remove memberRemoveCmd `cmd:"" help:"Remove a member that is gone for good and has no successor; refused where the quorum needs it."`
	} `cmd:"" help:"A single member of the quorum."`
	Servers serversCmd `cmd:"" help:"Print the registered servers, as the leader knows them."`
	Top     topCmd     `cmd:"" help:"Show what the nodes are doing, again and again."`
	Trace   traceCmd   `cmd:"" help:"Print the way of a request through the mesh, and of the calls that it made."`
	Store   struct {
		Inspect inspectCmd `cmd:"" help:"Print what the folder of a stopped quorum member holds; nothing is changed."`
		Verify  verifyCmd  `cmd:"" help:"Check the folder of a stopped quorum member, entry by entry; nothing is changed."`
		Backup  backupCmd  `cmd:"" help:"Write all that a running core has acknowledged to a file."`
		Export  exportCmd  `cmd:"" help:"The same out of the folder of a stopped quorum member; nothing in it is changed."`
		Show    showCmd    `cmd:"" help:"Print what a backup holds."`
		Restore restoreCmd `cmd:"" help:"Make an empty folder the first machine of a new core, out of a backup."`
	} `cmd:"" help:"The disk of a quorum member, and backups."`
	CA struct {
		Init   caInitCmd   `cmd:"" help:"Make an authority: a key, its certificate, and a bundle for all processes."`
		Issue  caIssueCmd  `cmd:"" help:"Make a key and a certificate for a machine or an operator."`
		Rotate caRotateCmd `cmd:"" help:"Put another authority in its place; the bundle trusts both until ca retire."`
		Retire caRetireCmd `cmd:"" help:"Trust the present authority alone."`
	} `cmd:"" name:"ca" help:"A small authority for those who have none."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print what to put into the shell's start file for completion."`
}

type coreFlags struct {
	Core   []string `help:"Addresses of quorum members." required:"" placeholder:"HOST:PORT"`
	Cert   string   `help:"Certificate of an operator, where the core asks for one." type:"existingfile" group:"Identity" and:"identity"`
	Key    string   `help:"Its private key." type:"existingfile" group:"Identity" and:"identity"`
	Bundle string   `help:"The authorities that it trusts." type:"existingfile" group:"Identity" and:"identity"`
}

func (f *coreFlags) core() (*operator.Client, error) {
	core := &operator.Client{Addresses: f.Core}
	if f.Cert == "" {
		return core, nil
	}
	source, err := identity.Open(identity.Files{Cert: f.Cert, Key: f.Key, Bundle: f.Bundle}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return nil, err
	}
	return core.With(source), nil
}

func main() {
	program.Tool("ivydeckctl", "The operator's tool of the ivydeck mesh.", new(commands))
}
