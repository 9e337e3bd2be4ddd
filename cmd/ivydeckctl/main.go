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

// commands are the commands of the tool, as kong reads them.
type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Config  struct {
		Check checkCmd `cmd:"" help:"Say what is wrong with a configuration."`
		Diff  diffCmd  `cmd:"" help:"List what differs between two configurations."`
		Read  readCmd  `cmd:"" help:"Print the configuration in force."`
		Apply applyCmd `cmd:"" help:"Send a configuration to the quorum."`
	} `cmd:"" help:"Configurations: .toml, .yaml, .json, or MessagePack."`
	Status  statusCmd  `cmd:"" help:"Print what quorum members say of themselves, their members and the servers."`
	Members membersCmd `cmd:"" help:"Print the quorum members, as the leader knows them."`
	Member  struct {
		Remove memberRemoveCmd `cmd:"" help:"Remove a member that is lost for good and has no replacement; rejected if the quorum needs it."`
	} `cmd:"" help:"A single member of the quorum."`
	Servers serversCmd `cmd:"" help:"Print the registered servers, as the leader knows them."`
	Top     topCmd     `cmd:"" help:"Show what the nodes are doing, again and again."`
	Trace   traceCmd   `cmd:"" help:"Print the path of a request through the mesh, and of the calls that it made."`
	Store   struct {
		Inspect inspectCmd `cmd:"" help:"Print what the folder of a stopped quorum member holds; nothing is changed."`
		Verify  verifyCmd  `cmd:"" help:"Check the folder of a stopped quorum member, entry by entry; nothing is changed."`
		Backup  backupCmd  `cmd:"" help:"Write all that a running quorum has acknowledged to a file."`
		Export  exportCmd  `cmd:"" help:"The same out of the folder of a stopped quorum member; nothing in it is changed."`
		Show    showCmd    `cmd:"" help:"Print what a backup holds."`
		Restore restoreCmd `cmd:"" help:"Make an empty folder the first member of a new quorum, out of a backup."`
	} `cmd:"" help:"The disk of a quorum member, and backups."`
	CA struct {
		Init   caInitCmd   `cmd:"" help:"Make an authority: a key, its certificate, and a bundle for all processes."`
		Issue  caIssueCmd  `cmd:"" help:"Make a key and a certificate for a machine or an operator."`
		Rotate caRotateCmd `cmd:"" help:"Put another authority in its place; the bundle trusts both until ca retire."`
		Retire caRetireCmd `cmd:"" help:"Trust the present authority alone."`
	} `cmd:"" name:"ca" help:"A small authority for those who have none."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print what to put into the shell's start file for completion."`
}

// quorumFlags are the flags of all commands that call quorum members.
type quorumFlags struct {
	Quorum []string `help:"Addresses of quorum members." required:"" placeholder:"HOST:PORT" aliases:"core"` // --core is its former name
	Cert   string   `help:"Certificate of an operator, where the quorum asks for one." type:"existingfile" group:"Identity" and:"identity"`
	Key    string   `help:"Its private key." type:"existingfile" group:"Identity" and:"identity"`
	Bundle string   `help:"The authorities that it trusts." type:"existingfile" group:"Identity" and:"identity"`
}

// client returns a client of the quorum members, with the identity that the flags name.
func (f *quorumFlags) client() (*operator.Client, error) {
	client := &operator.Client{Addresses: f.Quorum}
	if f.Cert == "" {
		return client, nil
	}
	source, err := identity.Open(identity.Files{Cert: f.Cert, Key: f.Key, Bundle: f.Bundle}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return nil, err
	}
	return client.With(source), nil
}

func main() {
	program.Tool("ivydeckctl", "The operator's tool of the ivydeck mesh.", new(commands))
}
