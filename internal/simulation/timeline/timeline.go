// Package timeline reads the logs of many machines and says how a start of all of them went: which step each of them
// reached when, counted from the first process of the wave.
package timeline

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Event is one line of a log.
type Event struct {
	At      time.Time
	Machine string
	Name    string // such as leadership.acquired; see the operators' page
}

// line is one of the programs' own, as slog's text handler writes it, behind what a collector may have put in front of
// it: its last word is taken for the machine's name.
var line = regexp.MustCompile(`^(.*?)time=(\S+) level=\w+ msg=(\S+)`)

// Read returns the events of a log in order. Lines of others are passed over; machine names those that do not name theirs.
func Read(r io.Reader, machine string) ([]Event, error) {
	var list []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		m := line.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, m[2])
		if err != nil {
			continue
		}
		e := Event{At: at, Machine: machine, Name: cmp.Or(renamed[m[3]], m[3])}
		if words := strings.Fields(m[1]); len(words) > 0 {
			e.Machine = words[len(words)-1]
		}
		list = append(list, e)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("timeline: %w", err)
	}
	return list, nil
}

// renamed maps events of the version before to their present names, so that its logs are read as well.
var renamed = map[string]string{"data.start": "sidecar.started", "server.new": "server.registered", "data.ready": "sidecar.ready"}

// Steps of a start, in the order in which they wait for each other.
var Steps = []string{"control.started", "leadership.acquired", "sidecar.started", "server.registered", "config.applied", "sidecar.ready"}

// calm is the time without a start that parts two waves.
const calm = 3 * time.Second

// Step is how the machines of a wave came to one step, after its first start.
type Step struct {
	Name                string
	Machines            int
	First, Median, Last time.Duration
	Slowest             string // the machine that came last
}

// Wave is the last time that many machines started together.
type Wave struct {
	Began time.Time
	Steps []Step
}

// Last finds the last wave of starts, and for each step when each machine first came to it. ok is false where nothing has
// started.
func Last(events []Event) (w Wave, ok bool) {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	starts := func(e Event) bool { return e.Name == "control.started" || e.Name == "sidecar.started" }
	var before time.Time
	for _, e := range events {
		if !starts(e) {
			continue
		}
		if !ok || e.At.Sub(before) > calm {
			w.Began, ok = e.At, true
		}
		before = e.At
	}
	if !ok {
		return w, false
	}
	for _, name := range Steps {
		reached := map[string]time.Duration{}
		for _, e := range events {
			if _, again := reached[e.Machine]; e.Name == name && !again && !e.At.Before(w.Began) {
				reached[e.Machine] = e.At.Sub(w.Began)
			}
		}
		if len(reached) == 0 {
			continue
		}
		var all []time.Duration
		s := Step{Name: name, Machines: len(reached)}
		for machine, after := range reached {
			all = append(all, after)
			if after > s.Last || s.Slowest == "" || after == s.Last && machine < s.Slowest {
				s.Last, s.Slowest = after, machine
			}
		}
		slices.Sort(all)
		s.First, s.Median = all[0], all[len(all)/2]
		w.Steps = append(w.Steps, s)
	}
	return w, true
}
