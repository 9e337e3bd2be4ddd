// Command balancer runs a load-balancing node. The environment variable LB_CONFIG is the
// path of its configuration file, which is read again on SIGHUP.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"ivydeck/internal/balancer/node"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "balancer:", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger) error {
	path := os.Getenv("LB_CONFIG")
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	config, err := node.ReadConfig(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the node is limited to one core
	limitMemory(config.MemoryMB)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(config, log.With("node", config.Name))
	if err != nil {
		return err
	}
	var workers sync.WaitGroup
	defer workers.Wait()
	defer stop() // ends reload if Run returns by itself
	workers.Go(func() { reload(ctx, n, path, hangups, log) })
	return n.Run(ctx)
}

// limitMemory sets the soft memory limit of the Go runtime to two thirds of the node's
// limit. The rest is left for memory that the runtime does not count, such as the mapped
// binary and kernel buffers. It keeps the default rate of garbage collection: with rare
// collections the heap would grow slowly for a long time, which looks like a leak.
func limitMemory(mb int) {
	debug.SetMemoryLimit(int64(mb) << 20 * 2 / 3)
	debug.SetGCPercent(100)
}

// reload applies the configuration file to the node on each signal until ctx ends. The
// node keeps its previous configuration if the file is invalid.
func reload(ctx context.Context, n *node.Node, path string, hangups <-chan os.Signal, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		config, err := node.ReadConfig(path)
		if err != nil {
			log.Error("config.reload_failed", "err", err)
			continue
		}
		n.Reload(config)
		log.Info("config.reloaded", "discovery", config.Discovery)
	}
}
