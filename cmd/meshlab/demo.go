package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"ivydeck/internal/simulation/demo"
)

type demoCmd struct {
	Seconds  float64 `default:"12" help:"Duration of the traffic in seconds."`
	Rate     float64 `default:"300" help:"Requests per second."`
	Programs string  `placeholder:"DIR" help:"Folder of ivydeck-data and ivydeck-control; by default the folder of this program."`
}

func (c *demoCmd) Run(ctx context.Context) error {
	if c.Programs == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Programs = filepath.Dir(self)
	}
	return demo.Run(ctx, demo.Options{Programs: c.Programs, Duration: time.Duration(c.Seconds * float64(time.Second)), Rate: c.Rate, Output: os.Stdout})
}
