// Package program is what the programs of the mesh share: arguments, the settings file and its changes, signals, logging,
// and errors in one line.
package program

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"ivydeck/internal/config/nodefile"
)

// Version is what --version prints; the build may set it.
var Version = "dev"

// Exit codes.
const (
	exitFault = 1 // bad settings, or the program could not do its work
)

const pollEvery = time.Second // the settings file may change without a signal

// arguments of both programs.
type arguments struct {
	Settings string           `help:"Settings file." env:"IVYDECK_NODE_FILE" default:"/etc/ivydeck/node.conf" placeholder:"FILE"`
	Check    bool             `help:"Read the settings file, say what is wrong with it, and exit."`
	LogLevel string           `help:"Least level that is logged." enum:"debug,info,warn,error" default:"info"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Run is the main part of a program: it returns once ctx ends. reload blocks until the settings have changed; it returns nil
// once ctx has ended.
type Run func(ctx context.Context, set *nodefile.Settings, reload func() *nodefile.Settings, log *slog.Logger) error

// Main runs a program for machines of a class, and exits.
func Main(name, about string, class nodefile.Class, run Run) {
	os.Exit(start(name, about, class, run))
}

func start(name, about string, class nodefile.Class, run Run) int {
	var args arguments
	parser, err := kong.New(&args, kong.Name(name), kong.Description(about), kong.Vars{"version": name + " " + Version})
	if err == nil {
		_, err = parser.Parse(os.Args[1:])
	}
	if err != nil {
		return fail(name, err)
	}
	set, err := load(args.Settings, class)
	var faults nodefile.Faults
	if args.Check && errors.As(err, &faults) {
		for _, f := range faults {
			fmt.Fprintf(os.Stderr, "%s: %s: %s\n", name, args.Settings, f)
		}
		return exitFault
	}
	if err != nil {
		return fail(name, err)
	}
	if args.Check {
		if _, err := Identity(set, slog.New(slog.DiscardHandler)); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %s: %v\n", name, args.Settings, err)
			return exitFault
		}
		fmt.Printf("%s: %s: no fault found\n", name, args.Settings)
		return 0
	}
	var level slog.Level
	level.UnmarshalText([]byte(args.LogLevel)) // the parser accepts only valid levels
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	// The garbage collector works harder well before the platform would kill the process.
	debug.SetMemoryLimit(int64(set.MemoryMB) << 20 * 3 / 4)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	w := &watcher{path: args.Settings, class: class, hup: hup, log: log, lastStamp: stamp(args.Settings)}
	if err := run(ctx, set, func() *nodefile.Settings { return w.next(ctx) }, log); err != nil {
		return fail(name, err)
	}
	return 0
}

// Tool runs a program with several commands, and exits. A command's Run may take a context, which an interrupt ends.
func Tool(name, about string, commands any) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parser, err := kong.New(commands, kong.Name(name), kong.Description(about), kong.Vars{"version": name + " " + Version},
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		os.Exit(fail(name, err))
	}
	kongplete.Complete(parser) // answers the shell, where it asks, and ends
	k, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := k.Run(); err != nil {
		os.Exit(fail(name, err))
	}
}

func fail(name string, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return exitFault
}

func load(path string, class nodefile.Class) (*nodefile.Settings, error) {
	set, err := nodefile.Load(path)
	if err != nil {
		return nil, err
	}
	if set.Class != class {
		return nil, fmt.Errorf("settings: %s: machine_class is %s, and this program is for %s", path, set.Class, class)
	}
	return set, nil
}

// watcher waits for changes of the settings file.
type watcher struct {
	path      string
	class     nodefile.Class
	hup       <-chan os.Signal
	log       *slog.Logger
	lastStamp string
}

// stamp changes when a file does.
func stamp(path string) string {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return ""
	}
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

// next returns the settings after their next change, or nil once ctx ends. A file with a fault is logged, and the settings
// in force stay.
func (w *watcher) next(ctx context.Context) *nodefile.Settings {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.hup:
		case <-tick.C:
			if now := stamp(w.path); now == w.lastStamp {
				continue
			}
		}
		w.lastStamp = stamp(w.path)
		set, err := load(w.path, w.class)
		if err != nil {
			w.log.Error("settings.reload_failed", "err", err)
			continue
		}
		w.log.Info("settings.reloaded", "file", w.path)
		return set
	}
}
