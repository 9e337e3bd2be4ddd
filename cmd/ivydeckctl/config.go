package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/operator"
)

type checkCmd struct {
	File string `arg:"" type:"existingfile"`
}

func (c *checkCmd) Run() error {
	_, config, err := operator.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: revision %d, %d routes, %d backends, no errors\n", c.File, config.Revision, len(config.Routes), len(config.Backends))
	return nil
}

type diffCmd struct {
	A string `arg:"" type:"existingfile"`
	B string `arg:"" type:"existingfile"`
}

func (c *diffCmd) Run() error {
	_, a, err := operator.Load(c.A)
	if err != nil {
		return fmt.Errorf("%s: %w", c.A, err)
	}
	_, b, err := operator.Load(c.B)
	if err != nil {
		return fmt.Errorf("%s: %w", c.B, err)
	}
	for _, line := range operator.Diff(a, b) {
		fmt.Println(line)
	}
	return nil
}

type readCmd struct {
	quorumFlags
	Output string `help:"Output format: json or table." enum:"json,table" default:"table"`
}

func (c *readCmd) Run(ctx context.Context) error {
	quorum, err := c.client()
	if err != nil {
		return err
	}
	_, config, err := quorum.Read(ctx)
	if err != nil {
		return err
	}
	if config == nil {
		return errors.New("no configuration yet")
	}
	return show(config, c.Output)
}

// show prints a configuration as indented JSON or as a table of its routes.
func show(config *meshconfig.Config, output string) error {
	if output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(config)
	}
	fmt.Printf("revision %d\n%-32s %-15s %8s %8s %8s  %s\n", config.Revision, "place", "type", "priority", "aim ms", "limit ms", "to")
	for _, r := range config.Routes {
		targets := []string{r.Backend}
		for _, w := range r.Backends {
			targets = append(targets, fmt.Sprintf("%s:%g", w.Backend, w.Weight))
		}
		fmt.Printf("%-32s %-15s %8d %8g %8g  %s\n", r.Host+r.Prefix, r.Kind, r.Priority, r.TargetLatencyMs, r.TimeoutMs, strings.Trim(strings.Join(targets, " "), " "))
	}
	return nil
}

type applyCmd struct {
	quorumFlags
	File string `arg:"" type:"existingfile"`
	Base int64  `help:"Revision on which the new configuration is based; by default the current revision." default:"-1"`
}

func (c *applyCmd) Run(ctx context.Context) error {
	body, config, err := operator.Load(c.File)
	if err != nil {
		return err
	}
	quorum, err := c.client()
	if err != nil {
		return err
	}
	base := uint64(c.Base)
	if c.Base < 0 {
		_, current, err := quorum.Read(ctx)
		if err != nil {
			return err
		}
		if base = 0; current != nil {
			base = current.Revision
		}
	}
	if err := quorum.Apply(ctx, base, body); err != nil {
		return err
	}
	fmt.Printf("applied revision %d\n", config.Revision)
	return nil
}
