// Command balancer is a load-balancing node. LB_CONFIG names the file that
// names its address, the address of discovery, and its settings.
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
	replaced := make(chan os.Signal, 1) // SIGHUP: the configuration is
	signal.Notify(replaced, syscall.SIGHUP)
	config, err := node.ReadConfig(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // one core, which other nodes may share
	limitMemory(config.MemoryMB)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(config, log.With("node", config.Name))
	if err != nil {
		return err
	}
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop() // ends reload also where Run ends by itself
	parts.Go(func() { reload(ctx, n, path, replaced, log) })
	return n.Run(ctx)
}

// limitMemory keeps the heap within the node's limit. What that leaves over is
// for stacks, the program itself and the kernel's part. Collections come as often
// as by default: were they rare, garbage would pile up for the better part of a
// minute before the first, and the node's memory would seem to grow all day.
func limitMemory(mb int) {
	debug.SetMemoryLimit(int64(mb) << 20 * 2 / 3)
	debug.SetGCPercent(100)
}

// reload gives the node each configuration that replaces the last, until the
// context ends. The node keeps the old one where the new one is bad.
func reload(ctx context.Context, n *node.Node, path string, replaced <-chan os.Signal, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-replaced:
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
