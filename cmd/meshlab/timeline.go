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
	Logs []string `arg:"" type:"existingfile" help:"Logs of the machines: one file each, or collected with the machine's name in front of each line."`
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
	w, ok := timeline.Last(events)
	if !ok {
		return errors.New("no process has started in these logs")
	}
	fmt.Printf("the last start of many, from %s on\n", w.Began.Format(time.RFC3339Nano))
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "step\tmachines\tfirst\tmedian\tlast\tslowest")
	for _, s := range w.Steps {
		fmt.Fprintf(out, "%s\t%d\t%v\t%v\t%v\t%s\n", s.Name, s.Machines, s.First.Round(time.Millisecond), s.Median.Round(time.Millisecond),
			s.Last.Round(time.Millisecond), s.Slowest)
	}
	return out.Flush()
}
