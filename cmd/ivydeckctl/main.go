// Command ivydeckctl inspects and configures a mesh, and manages quorum members, backups and certificates.
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

// commands is the command tree that kong parses.
type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Config  struct {
		Check checkCmd `cmd:"" help:"Validate a configuration and print all errors."`
		Diff  diffCmd  `cmd:"" help:"List the differences between two configurations."`
		Read  readCmd  `cmd:"" help:"Print the current configuration."`
		Apply applyCmd `cmd:"" help:"Apply a configuration to the mesh."`
	} `cmd:"" help:"Validate, compare, read and apply configurations (.toml, .yaml, .json or MessagePack)."`
	Status  statusCmd  `cmd:"" help:"Print the status of quorum members, and the leader's view of the members and servers."`
	Members membersCmd `cmd:"" help:"Print the quorum members, as reported by the leader."`
	Member  struct {
		Remove memberRemoveCmd `cmd:"" help:"Remove a member that is lost permanently and has no replacement; rejected if the quorum needs it."`
	} `cmd:"" help:"Manage a single quorum member."`
	Servers serversCmd `cmd:"" help:"Print the registered servers, as reported by the leader."`
	Top     topCmd     `cmd:"" help:"Print request rates, services, nodes and servers periodically."`
	Trace   traceCmd   `cmd:"" help:"Print the path of a request and of its downstream calls through the mesh."`
	Store   struct {
		Inspect inspectCmd `cmd:"" help:"Print a summary of the data folder of a stopped quorum member, without changing it."`
		Verify  verifyCmd  `cmd:"" help:"Verify each entry in the data folder of a stopped quorum member, without changing it."`
		Backup  backupCmd  `cmd:"" help:"Write the acknowledged state of a running quorum to a file."`
		Export  exportCmd  `cmd:"" help:"Write a backup from the data folder of a stopped quorum member, without changing it."`
		Show    showCmd    `cmd:"" help:"Print the contents of a backup."`
		Restore restoreCmd `cmd:"" help:"Initialize an empty data folder from a backup, as the first member of a new quorum."`
	} `cmd:"" help:"Inspect the data folder of a quorum member, and manage backups."`
	CA struct {
		Init   caInitCmd   `cmd:"" help:"Create a certificate authority: a key, its certificate, and a trust bundle for all processes."`
		Issue  caIssueCmd  `cmd:"" help:"Create a key and a certificate for a machine or an operator."`
		Rotate caRotateCmd `cmd:"" help:"Replace the authority by a new one; the bundle trusts both until ca retire."`
		Retire caRetireCmd `cmd:"" help:"Remove all authorities but the current one from the bundle."`
	} `cmd:"" name:"ca" help:"A small certificate authority for installations that have none."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print the line that enables completion, for the shell's startup file."`
}

// quorumFlags are the flags of all commands that connect to quorum members.
type quorumFlags struct {
	Quorum []string `help:"Addresses of quorum members." required:"" placeholder:"HOST:PORT" aliases:"core"` // --core is the former name of --quorum
	Cert   string   `help:"Certificate of the operator, if the quorum requires one." type:"existingfile" group:"Identity" and:"identity"`
	Key    string   `help:"Private key of the certificate." type:"existingfile" group:"Identity" and:"identity"`
	Bundle string   `help:"Bundle of trusted certificate authorities." type:"existingfile" group:"Identity" and:"identity"`
}

// client returns a client for the quorum members. If the flags name a certificate, the client authenticates with it.
func (f *quorumFlags) client() (*operator.Client, error) {
	client := &operator.Client{Addresses: f.Quorum}
	if f.Cert == "" {
		return client, nil
	}
	source, err := identity.Open(identity.Files{Cert: f.Cert, Key: f.Key, Bundle: f.Bundle}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return nil, err
	}
	return client.WithIdentity(source), nil
}

func main() {
	program.Tool("ivydeckctl", "Manages an ivydeck mesh.", new(commands))
}
