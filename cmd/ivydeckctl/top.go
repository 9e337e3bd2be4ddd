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
	Every time.Duration `help:"Interval between reports." default:"2s"`
	Times int           `help:"Number of reports; 0 prints reports until interrupted." default:"0"`
	Rows  int           `help:"Maximum number of nodes and of servers to show, worst first." default:"15"`
	JSON  bool          `help:"Print each report as a line of JSON, with counts instead of rates."`
}

func (c *topCmd) Run(ctx context.Context) error {
	quorum, err := c.client()
	if err != nil {
		return err
	}
	var previous server.NodeReports
	var previousAt time.Time
	for i := 0; c.Times == 0 || i < c.Times; i++ {
		if i > 0 {
			select {
			case <-time.After(c.Every):
			case <-ctx.Done():
				return nil
			}
		}
		current, err := quorum.Nodes(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return err
		case c.JSON:
			if err := json.NewEncoder(os.Stdout).Encode(current); err != nil {
				return err
			}
		default:
			if i > 0 {
				fmt.Println()
			}
			c.show(os.Stdout, previous, current, time.Since(previousAt))
		}
		previous, previousAt = current, time.Now()
	}
	return nil
}

// rates is a node's report with its responses per second since the previous report or the node's start.
type rates struct {
	server.NodeReport
	served, refused, failed float64
}

// ratesSince returns the rates of a node, where elapsed is the time since the previous reports.
func ratesSince(previous server.NodeReports, current server.NodeReport, elapsed time.Duration) rates {
	r := rates{NodeReport: current}
	uptime := time.Duration(current.UpMs) * time.Millisecond
	var old server.NodeReport
	// The counts of a node that has restarted since the previous report start at zero.
	if i := slices.IndexFunc(previous.Nodes, func(n server.NodeReport) bool { return n.Node == current.Node }); i >= 0 && uptime >= elapsed && previous.Nodes[i].UpMs <= current.UpMs {
		old = previous.Nodes[i]
	} else {
		elapsed = uptime
	}
	rate := func(a, b uint64) float64 { return float64(a-min(a, b)) / max(elapsed.Seconds(), 0.001) }
	r.served, r.refused, r.failed = rate(current.Served, old.Served), rate(current.Refused, old.Refused), rate(current.Failed, old.Failed)
	return r
}

// show prints the totals, each service, the worst nodes, and the servers that are ejected, draining or have a queue.
func (c *topCmd) show(out io.Writer, previous, current server.NodeReports, elapsed time.Duration) {
	nodes := make([]rates, 0, len(current.Nodes))
	var served, refused, failed float64
	for _, n := range current.Nodes {
		r := ratesSince(previous, n, elapsed)
		nodes = append(nodes, r)
		served, refused, failed = served+r.served, refused+r.refused, failed+r.failed
	}
	fmt.Fprintf(out, "%s  %d nodes (%d did not respond): %.1f served, %.1f refused, %.1f failed per second\n",
		time.Now().Format(time.TimeOnly), current.Queried, current.Unresponsive, served, refused, failed)
	showServices(out, current.Nodes)
	c.showNodes(out, nodes)
	c.showServers(out, current.Nodes)
}

// serviceTotals aggregates the reports of all nodes on a service.
type serviceTotals struct {
	normalizedLatency          float64 // sum over the reports, in multiples of the latency target
	minProbability             float64 // lowest admission probability of a call graph at any node and priority
	retryBudgetLeft            float64 // retries that may be sent now
	running, queued, slots     uint32
	servers, ejected, draining int
	reports                    int // number of nodes that report the service
}

// totalsOf returns the totals of all services, by name.
func totalsOf(nodes []server.NodeReport) map[string]*serviceTotals {
	totals := map[string]*serviceTotals{}
	totalsFor := func(service string) *serviceTotals {
		if totals[service] == nil {
			totals[service] = &serviceTotals{minProbability: 1}
		}
		return totals[service]
	}
	for _, n := range nodes {
		for _, s := range n.Services {
			t := totalsFor(s.Service)
			t.reports++
			t.normalizedLatency += s.NormalizedLatency
			t.retryBudgetLeft += s.RetryBudgetLeft
			for _, probability := range s.AdmissionProbabilities {
				t.minProbability = min(t.minProbability, probability)
			}
		}
		for _, s := range n.Servers {
			t := totalsFor(s.Service)
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
	return totals
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

// showNodes prints the nodes with the highest rates of failed and refused requests, at most c.Rows.
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

// showServers prints at most c.Rows servers that are ejected, draining or have a queue.
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
