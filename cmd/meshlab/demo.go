package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"ivydeck/internal/simulation/demo"
)

type demoCmd struct {
	Seconds  float64 `default:"12" help:"Of traffic."`
	Rate     float64 `default:"300" help:"Requests a second."`
	Programs string  `placeholder:"DIR" help:"Folder of ivydeck-data and ivydeck-control; this program's own where it is not given."`
}

func (c *demoCmd) Run(ctx context.Context) error {
	if c.Programs == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Programs = filepath.Dir(self)
	}
	return demo.Run(ctx, demo.Options{Programs: c.Programs, Length: time.Duration(c.Seconds * float64(time.Second)), Rate: c.Rate, Output: os.Stdout})
}
