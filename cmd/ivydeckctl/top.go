package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"ivydeck/internal/controlplane/server"
)

type topCmd struct {
	quorumFlags
	Every time.Duration `help:"Between two reports." default:"2s"`
	Times int           `help:"Reports; 0: until interrupted." default:"0"`
	Rows  int           `help:"Nodes, and servers, that are shown at most: the worst." default:"15"`
	JSON  bool          `help:"Each report as a line of JSON, with counts in the place of rates."`
}

func (c *topCmd) Run(ctx context.Context) error {
	quorum, err := c.client()
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
		now, err := quorum.Nodes(ctx)
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

// rates are a node's answers a second, since the report before or the node's start.
type rates struct {
	server.NodeReport
	served, refused, failed float64
}

func since(before server.NodeReports, now server.NodeReport, passed time.Duration) rates {
	r := rates{NodeReport: now}
	up := time.Duration(now.UpMs) * time.Millisecond
	var old server.NodeReport
	// One that has restarted since then counts from its start.
	if i := slices.IndexFunc(before.Nodes, func(n server.NodeReport) bool { return n.Node == now.Node }); i >= 0 && up >= passed && before.Nodes[i].UpMs <= now.UpMs {
		old = before.Nodes[i]
	} else {
		passed = up
	}
	per := func(a, b uint64) float64 { return float64(a-min(a, b)) / max(passed.Seconds(), 0.001) }
	r.served, r.refused, r.failed = per(now.Served, old.Served), per(now.Refused, old.Refused), per(now.Failed, old.Failed)
	return r
}

// show prints the totals, each service, the worst nodes and the servers that need attention.
func (c *topCmd) show(out io.Writer, before, now server.NodeReports, passed time.Duration) {
	nodes := make([]rates, 0, len(now.Nodes))
	var served, refused, failed float64
	for _, n := range now.Nodes {
		r := since(before, n, passed)
		nodes = append(nodes, r)
		served, refused, failed = served+r.served, refused+r.refused, failed+r.failed
	}
	fmt.Fprintf(out, "%s  %d nodes (%d silent): %.1f served, %.1f refused, %.1f failed a second\n",
		time.Now().Format(time.TimeOnly), now.Queried, now.Unresponsive, served, refused, failed)
	showServices(out, now.Nodes)
	c.showNodes(out, nodes)
	c.showServers(out, now.Nodes)
}

// serviceTotals sums up what all nodes report of a service.
type serviceTotals struct {
	normalizedLatency          float64 // sum over the nodes that report it
	minProbability             float64 // of the admission of a call graph, at any node and priority
	retryBudgetLeft            float64
	running, queued, slots     uint32
	servers, ejected, draining int
	reports                    int // nodes that report the service
}

// totalsOf sums up the reports by service.
func totalsOf(nodes []server.NodeReport) map[string]*serviceTotals {
	all := map[string]*serviceTotals{}
	of := func(service string) *serviceTotals {
		if all[service] == nil {
			all[service] = &serviceTotals{minProbability: 1}
		}
		return all[service]
	}
	for _, n := range nodes {
		for _, s := range n.Services {
			t := of(s.Service)
			t.reports++
			t.normalizedLatency += s.NormalizedLatency
			t.retryBudgetLeft += s.RetryBudgetLeft
			for _, probability := range s.AdmissionProbabilities {
				t.minProbability = min(t.minProbability, probability)
			}
		}
		for _, s := range n.Servers {
			t := of(s.Service)
			t.servers++
			t.running, t.queued, t.slots = t.running+s.Running, t.queued+s.Queued, t.slots+s.Slots
			if len(s.EjectedZones) > 0 {
				t.ejected++
			}
			if s.Draining {
				t.draining++
			}
		}
	}
	return all
}

func showServices(out io.Writer, nodes []server.NodeReport) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "service\tservers\tout\tdraining\trunning\twaiting\tslots\tmean r\tleast chance\trepeats left")
	totals := totalsOf(nodes)
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		t := totals[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.0f\n", name, t.servers, t.ejected, t.draining, t.running, t.queued, t.slots,
			t.normalizedLatency/float64(max(1, t.reports)), t.minProbability, t.retryBudgetLeft)
	}
}

// showNodes prints the nodes with the most failures, rejections and pending requests.
func (c *topCmd) showNodes(out io.Writer, nodes []rates) {
	slices.SortStableFunc(nodes, func(a, b rates) int {
		return cmp.Or(cmp.Compare(b.failed, a.failed), cmp.Compare(b.refused, a.refused), cmp.Compare(b.Pending, a.Pending))
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "node\tzone\tserved/s\trefused/s\tfailed/s\tpending\tupdate\tupdate age ms")
	for _, r := range nodes[:min(len(nodes), c.Rows)] {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\n", r.Node, r.Zone, r.served, r.refused, r.failed, r.Pending, r.UpdateIndex, r.UpdateAgeMs)
	}
}

// showServers prints the servers that are ejected, draining or have a queue, if there are any.
func (c *topCmd) showServers(out io.Writer, nodes []server.NodeReport) {
	type row struct {
		node string
		server.ServerReport
	}
	var rows []row
	for _, n := range nodes {
		for _, s := range n.Servers {
			if len(s.EjectedZones) > 0 || s.Queued > 0 || s.Draining {
				rows = append(rows, row{n.Node, s})
			}
		}
	}
	if len(rows) == 0 {
		return
	}
	slices.SortStableFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(len(b.EjectedZones), len(a.EjectedZones)), cmp.Compare(b.Queued, a.Queued))
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "server\tof\tnode\trunning\twaiting\tslots\tout for\tdraining")
	for _, s := range rows[:min(len(rows), c.Rows)] {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%v\n", s.Server, s.Service, s.node, s.Running, s.Queued, s.Slots, strings.Join(s.EjectedZones, " "), s.Draining)
	}
}
