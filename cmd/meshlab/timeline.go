package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"ivydeck/internal/simulation/timeline"
)

type timelineCmd struct {
	Logs []string `arg:"" type:"existingfile" help:"Logs of the machines: one file for each, or a combined file in which each line starts with the machine's name."`
}

func (c *timelineCmd) Run() error {
	var events []timeline.Event
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		list, err := timeline.Read(f, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		events = append(events, list...)
	}
	wave, ok := timeline.Last(events)
	if !ok {
		return errors.New("the logs contain no process start")
	}
	fmt.Printf("last common start, at %s\n", wave.StartedAt.Format(time.RFC3339Nano))
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "step\tmachines\tfirst\tmedian\tlast\tslowest")
	for _, s := range wave.Steps {
		fmt.Fprintf(out, "%s\t%d\t%v\t%v\t%v\t%s\n", s.Name, s.Machines, s.First.Round(time.Millisecond), s.Median.Round(time.Millisecond),
			s.Last.Round(time.Millisecond), s.Slowest)
	}
	return out.Flush()
}
