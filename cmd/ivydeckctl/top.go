package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"ivydeck/internal/controlplane/server"
)

type topCmd struct {
	coreFlags
	Every time.Duration `help:"Between two looks." default:"2s"`
	Times int           `help:"Looks; 0: until interrupted." default:"0"`
	Rows  int           `help:"Nodes, and servers, that are shown at most: the worst." default:"15"`
	JSON  bool          `help:"Each look as a line of JSON, with counts in the place of rates."`
}

func (c *topCmd) Run(ctx context.Context) error {
	core, err := c.core()
	if err != nil {
		return err
	}
	var before server.NodeReports
	var at time.Time
	for i := 0; c.Times == 0 || i < c.Times; i++ {
		if i > 0 {
			select {
			case <-time.After(c.Every):
			case <-ctx.Done():
				return nil
			}
		}
		now, err := core.Look(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return err
		case c.JSON:
			if err := json.NewEncoder(os.Stdout).Encode(now); err != nil {
				return err
			}
		default:
			if i > 0 {
				fmt.Println()
			}
			c.show(os.Stdout, before, now, time.Since(at))
		}
		before, at = now, time.Now()
	}
	return nil
}

// rates are a node's answers in a second, since the look before or its start.
type rates struct {
	server.NodeReport
	served, refused, failed float64
}

func since(before server.NodeReports, now server.NodeReport, passed time.Duration) rates {
	r := rates{NodeReport: now}
	up := time.Duration(now.UpMs) * time.Millisecond
	var old server.NodeReport
	// One that has started anew since then counts from its start.
	if i := slices.IndexFunc(before.Nodes, func(n server.NodeReport) bool { return n.Node == now.Node }); i >= 0 && up >= passed && before.Nodes[i].UpMs <= now.UpMs {
		old = before.Nodes[i]
	} else {
		passed = up
	}
	per := func(a, b uint64) float64 { return float64(a-min(a, b)) / max(passed.Seconds(), 0.001) }
	r.served, r.refused, r.failed = per(now.Served, old.Served), per(now.Refused, old.Refused), per(now.Failed, old.Failed)
	return r
}

func (c *topCmd) show(out io.Writer, before, now server.NodeReports, passed time.Duration) {
	var nodes []rates
	var served, refused, failed float64
	type sum struct {
		r, least, left            float64
		running, waiting, slots   uint32
		servers, out, drain, seen int
	}
	services := map[string]*sum{}
	service := func(name string) *sum {
		if services[name] == nil {
			services[name] = &sum{least: 1}
		}
		return services[name]
	}
	type ill struct {
		node string
		server.ServerReport
	}
	var servers []ill
	for _, n := range now.Nodes {
		r := since(before, n, passed)
		nodes = append(nodes, r)
		served, refused, failed = served+r.served, refused+r.refused, failed+r.failed
		for _, s := range n.Services {
			v := service(s.Service)
			v.r, v.left, v.seen = v.r+s.NormalizedLatency, v.left+s.RetryBudgetLeft, v.seen+1
			for _, chance := range s.AdmissionProbabilities {
				v.least = min(v.least, chance)
			}
		}
		for _, s := range n.Servers {
			v := service(s.Service)
			v.running, v.waiting, v.slots, v.servers = v.running+s.Running, v.waiting+s.Queued, v.slots+s.Slots, v.servers+1
			if len(s.EjectedZones) > 0 {
				v.out++
			}
			if s.Draining {
				v.drain++
			}
			servers = append(servers, ill{n.Node, s})
		}
	}
	fmt.Fprintf(out, "%s  %d nodes (%d silent): %.1f served, %.1f refused, %.1f failed a second\n",
		time.Now().Format(time.TimeOnly), now.Queried, now.Unresponsive, served, refused, failed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "service\tservers\tout\tdraining\trunning\twaiting\tslots\tmean r\tleast chance\trepeats left")
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		v := services[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.0f\n", name, v.servers, v.out, v.drain, v.running, v.waiting, v.slots,
			v.r/float64(max(1, v.seen)), v.least, v.left)
	}
	w.Flush()
	slices.SortStableFunc(nodes, func(a, b rates) int {
		return cmp.Or(cmp.Compare(b.failed, a.failed), cmp.Compare(b.refused, a.refused), cmp.Compare(b.Pending, a.Pending))
	})
	fmt.Fprintln(w, "node\tzone\tserved/s\trefused/s\tfailed/s\tpending\tupdate\tupdate age ms")
	for _, r := range nodes[:min(len(nodes), c.Rows)] {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\n", r.Node, r.Zone, r.served, r.refused, r.failed, r.Pending, r.UpdateIndex, r.UpdateAgeMs)
	}
	w.Flush()
	servers = slices.DeleteFunc(servers, func(s ill) bool { return len(s.EjectedZones) == 0 && s.Queued == 0 && !s.Draining })
	slices.SortStableFunc(servers, func(a, b ill) int {
		return cmp.Or(cmp.Compare(len(b.EjectedZones), len(a.EjectedZones)), cmp.Compare(b.Queued, a.Queued))
	})
	if len(servers) == 0 {
		return
	}
	fmt.Fprintln(w, "server\tof\tnode\trunning\twaiting\tslots\tout for\tdraining")
	for _, s := range servers[:min(len(servers), c.Rows)] {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%v\n", s.Server, s.Service, s.node, s.Running, s.Queued, s.Slots, strings.Join(s.EjectedZones, " "), s.Draining)
	}
	w.Flush()
}
