package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"ivydeck/internal/controlplane/server"
)

type statusCmd struct {
	quorumFlags
	Output string `help:"Output format: json or table." enum:"json,table" default:"table"`
}

func (c *statusCmd) Run(ctx context.Context) error {
	quorum, err := c.client()
	if err != nil {
		return err
	}
	statuses, errs := quorum.Status(ctx)
	if c.Output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return errors.Join(append(errs, enc.Encode(statuses))...)
	}
	for _, s := range statuses {
		fmt.Printf("%s: is leader %v, leader address %s, term %d, commit index %d, revision %d\n", s.Node, s.IsLeader, s.Leader, s.Term, s.Commit, s.Revision)
		if !s.IsLeader {
			continue
		}
		for _, m := range s.Members {
			fmt.Printf("  member %s at %s, voter %v\n", m.Identity, m.Address, m.Voter)
		}
		for _, v := range s.Servers {
			fmt.Printf("  server %s of service %s on node %s in zone %s, %d slots, draining %v\n", v.Member, v.Service, v.Node, v.Zone, v.Slots, v.Draining)
		}
	}
	return errors.Join(errs...)
}

// leader returns the status of the leader. It returns an error if none of the queried members is the leader.
func (f *quorumFlags) leader(ctx context.Context) (server.Status, error) {
	quorum, err := f.client()
	if err != nil {
		return server.Status{}, err
	}
	statuses, errs := quorum.Status(ctx)
	for _, s := range statuses {
		if s.IsLeader {
			return s, nil
		}
	}
	return server.Status{}, errors.Join(append(errs, errors.New("none of the queried quorum members is the leader"))...)
}

// table prints value as indented JSON if output is json. Otherwise it prints a table with the given header; rows writes the
// lines below it, with tabs between the cells.
func table(output string, value any, header string, rows func(w io.Writer)) error {
	if output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	return w.Flush()
}

type membersCmd struct {
	quorumFlags
	Output string `help:"Output format: json or table." enum:"json,table" default:"table"`
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
	quorumFlags
	Service string `help:"Print only servers of this service."`
	Output  string `help:"Output format: json or table." enum:"json,table" default:"table"`
}

func (c *serversCmd) Run(ctx context.Context) error {
	s, err := c.leader(ctx)
	if err != nil {
		return err
	}
	list := slices.DeleteFunc(s.Servers, func(v server.RegisteredServer) bool { return c.Service != "" && v.Service != c.Service })
	return table(c.Output, list, "server\tservice\tnode\tzone\tslots\tdraining", func(w io.Writer) {
		for _, v := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%v\n", v.Member, v.Service, v.Node, v.Zone, v.Slots, v.Draining)
		}
	})
}

type traceCmd struct {
	quorumFlags
	Attempt string `arg:"" help:"Attempt-Id of the request."`
	Output  string `help:"Output format: json or table." enum:"json,table" default:"table"`
}

func (c *traceCmd) Run(ctx context.Context) error {
	quorum, err := c.client()
	if err != nil {
		return err
	}
	trace, err := quorum.Trace(ctx, c.Attempt)
	if err != nil {
		return err
	}
	if trace.Unresponsive > 0 {
		fmt.Fprintf(os.Stderr, "%d of %d nodes did not respond\n", trace.Unresponsive, trace.Queried)
	}
	if len(trace.Parts) == 0 {
		return fmt.Errorf("no node holds a trace of request %s; the setting trace.keep limits how many traces a node keeps", c.Attempt)
	}
	first := trace.Parts[0].AgoMs
	return table(c.Output, trace, "at ms\ttook ms\tnode\tattempt\twhat\tstatus\twhy", func(w io.Writer) {
		for _, p := range trace.Parts {
			role := fmt.Sprintf("enters by route %s for service %s, %d attempts", p.Route, p.Service, p.Attempts)
			if !p.Entry {
				role = fmt.Sprintf("runs on server %s of service %s", p.Server, p.Service)
			}
			fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%d\t%s\n", first-p.AgoMs, p.TookMs, p.Node, p.Attempt, role, p.Status, p.Reason)
		}
	})
}
