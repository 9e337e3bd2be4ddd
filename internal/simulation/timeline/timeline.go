// Package timeline reads the logs of many machines and reports the time at which each machine reached each step of the
// last simultaneous start, counted from the first process that started.
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

// Event is a log line of one of the project's programs.
type Event struct {
	At      time.Time
	Machine string
	Name    string // such as leadership.acquired
}

// logLine matches a line of slog's text handler. A log collector may have put a prefix before it, whose last word is the
// machine's name.
var logLine = regexp.MustCompile(`^(.*?)time=(\S+) level=\w+ msg=(\S+)`)

// Read returns the events of a log in order, and skips lines of other programs. machine is the machine's name for lines
// without a prefix.
func Read(r io.Reader, machine string) ([]Event, error) {
	var list []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		match := logLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		timestamp, err := time.Parse(time.RFC3339Nano, match[2])
		if err != nil {
			continue
		}
		event := Event{At: timestamp, Machine: machine, Name: cmp.Or(currentNames[match[3]], match[3])}
		if words := strings.Fields(match[1]); len(words) > 0 {
			event.Machine = words[len(words)-1]
		}
		list = append(list, event)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("timeline: read log: %w", err)
	}
	return list, nil
}

// currentNames maps the event names of the previous version to the current ones, so that its logs can be read as well.
var currentNames = map[string]string{"data.start": "sidecar.started", "server.new": "server.registered", "data.ready": "sidecar.ready"}

// Steps are the events of a start, in the order in which they depend on each other.
var Steps = []string{"control.started", "leadership.acquired", "sidecar.started", "server.registered", "config.applied", "sidecar.ready"}

// waveGap is the minimum time between the starts of two waves.
const waveGap = 3 * time.Second

// Step holds the times at which machines reached a step, counted from the start of the wave.
type Step struct {
	Name                string
	Machines            int
	First, Median, Last time.Duration
	Slowest             string // the machine that reached the step last
}

// Wave is a simultaneous start of many machines.
type Wave struct {
	StartedAt time.Time
	Steps     []Step
}

// Last returns the last wave, with the first time at which each machine reached each step. ok is false if there is no
// start among the events.
func Last(events []Event) (wave Wave, ok bool) {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	isStart := func(event Event) bool { return event.Name == "control.started" || event.Name == "sidecar.started" }
	var previous time.Time
	for _, event := range events {
		if !isStart(event) {
			continue
		}
		if !ok || event.At.Sub(previous) > waveGap {
			wave.StartedAt, ok = event.At, true
		}
		previous = event.At
	}
	if !ok {
		return wave, false
	}
	for _, name := range Steps {
		reached := map[string]time.Duration{}
		for _, event := range events {
			if _, known := reached[event.Machine]; event.Name == name && !known && !event.At.Before(wave.StartedAt) {
				reached[event.Machine] = event.At.Sub(wave.StartedAt)
			}
		}
		if len(reached) == 0 {
			continue
		}
		var all []time.Duration
		step := Step{Name: name, Machines: len(reached)}
		for machine, elapsed := range reached {
			all = append(all, elapsed)
			if elapsed > step.Last || step.Slowest == "" || elapsed == step.Last && machine < step.Slowest {
				step.Last, step.Slowest = elapsed, machine
			}
		}
		slices.Sort(all)
		step.First, step.Median = all[0], all[len(all)/2]
		wave.Steps = append(wave.Steps, step)
	}
	return wave, true
}
