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
	Output string `help:"json or table." enum:"json,table" default:"table"`
}

func (c *statusCmd) Run(ctx context.Context) error {
	quorum, err := c.client()
	if err != nil {
		return err
	}
	all, errs := quorum.Status(ctx)
	if c.Output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return errors.Join(append(errs, enc.Encode(all))...)
	}
	for _, s := range all {
		fmt.Printf("%s: leads %v, leader %s, term %d, committed %d, revision %d\n", s.Node, s.IsLeader, s.Leader, s.Term, s.Commit, s.Revision)
		if !s.IsLeader {
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
func (f *quorumFlags) leader(ctx context.Context) (server.Status, error) {
	quorum, err := f.client()
	if err != nil {
		return server.Status{}, err
	}
	all, errs := quorum.Status(ctx)
	for _, s := range all {
		if s.IsLeader {
			return s, nil
		}
	}
	return server.Status{}, errors.Join(append(errs, errors.New("none of these machines is the leader"))...)
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
	quorumFlags
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
	quorumFlags
	Service string `help:"Of this service alone."`
	Output  string `help:"json or table." enum:"json,table" default:"table"`
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
	Attempt string `arg:"" help:"Its Attempt-Id."`
	Output  string `help:"json or table." enum:"json,table" default:"table"`
}

func (c *traceCmd) Run(ctx context.Context) error {
	quorum, err := c.client()
	if err != nil {
		return err
	}
	t, err := quorum.Trace(ctx, c.Attempt)
	if err != nil {
		return err
	}
	if t.Unresponsive > 0 {
		fmt.Fprintf(os.Stderr, "%d of %d nodes did not answer\n", t.Unresponsive, t.Queried)
	}
	if len(t.Parts) == 0 {
		return fmt.Errorf("no node has kept anything of %s; trace.keep in their settings says how much they keep", c.Attempt)
	}
	first := t.Parts[0].AgoMs
	return table(c.Output, t, "at ms\ttook ms\tnode\tattempt\twhat\tstatus\twhy", func(w io.Writer) {
		for _, p := range t.Parts {
			what := fmt.Sprintf("enters %s for %s, %d servers", p.Route, p.Service, p.Attempts)
			if !p.Entry {
				what = fmt.Sprintf("runs at %s of %s", p.Server, p.Service)
			}
			fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%d\t%s\n", first-p.AgoMs, p.TookMs, p.Node, p.Attempt, what, p.Status, p.Reason)
		}
	})
}
