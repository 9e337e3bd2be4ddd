// Package program holds the code shared by the programs of the mesh: command line, loading and watching the settings file,
// signals, logging and error output.
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

// Version is the version printed by --version. The build may set it.
var Version = "dev"

// Exit codes.
const (
	exitFailure = 1 // invalid settings, or the program failed
)

const pollInterval = time.Second // interval between checks for a changed settings file

// arguments are the command-line flags of ivydeck-control and ivydeck-data.
type arguments struct {
	Settings string           `help:"Settings file." env:"IVYDECK_NODE_FILE" default:"/etc/ivydeck/node.conf" placeholder:"FILE"`
	Check    bool             `help:"Validate the settings file, print its errors and exit."`
	LogLevel string           `help:"Minimum level of log messages." enum:"debug,info,warn,error" default:"info"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Run is the main function of a program. It returns when ctx is done. reload blocks until the settings change and returns the
// new ones, or nil when ctx is done.
type Run func(ctx context.Context, settings *nodefile.Settings, reload func() *nodefile.Settings, log *slog.Logger) error

// Main runs a program for machines of a class, and exits the process.
func Main(name, description string, class nodefile.Class, run Run) {
	os.Exit(start(name, description, class, run))
}

func start(name, description string, class nodefile.Class, run Run) int {
	var args arguments
	parser, err := kong.New(&args, kong.Name(name), kong.Description(description), kong.Vars{"version": name + " " + Version})
	if err == nil {
		_, err = parser.Parse(os.Args[1:])
	}
	if err != nil {
		return fail(name, err)
	}
	settings, err := load(args.Settings, class)
	var parseErrors nodefile.ParseErrors
	if args.Check && errors.As(err, &parseErrors) {
		for _, text := range parseErrors {
			fmt.Fprintf(os.Stderr, "%s: %s: %s\n", name, args.Settings, text)
		}
		return exitFailure
	}
	if err != nil {
		return fail(name, err)
	}
	if args.Check {
		if _, err := Identity(settings, slog.New(slog.DiscardHandler)); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %s: %v\n", name, args.Settings, err)
			return exitFailure
		}
		fmt.Printf("%s: %s: no fault found\n", name, args.Settings)
		return 0
	}
	var level slog.Level
	level.UnmarshalText([]byte(args.LogLevel)) // the parser accepts only valid levels
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	// The platform kills the process at MemoryMB. The soft limit makes the garbage collector run more often before that.
	debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * 3 / 4)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	w := &watcher{path: args.Settings, class: class, hup: hup, log: log, lastStamp: stamp(args.Settings)}
	if err := run(ctx, settings, func() *nodefile.Settings { return w.next(ctx) }, log); err != nil {
		return fail(name, err)
	}
	return 0
}

// Tool runs a program with subcommands, and exits the process on an error. The Run method of a command may take a context,
// which is cancelled on an interrupt.
func Tool(name, description string, commands any) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parser, err := kong.New(commands, kong.Name(name), kong.Description(description), kong.Vars{"version": name + " " + Version},
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		os.Exit(fail(name, err))
	}
	kongplete.Complete(parser) // on a completion request of the shell, prints the completions and exits
	k, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := k.Run(); err != nil {
		os.Exit(fail(name, err))
	}
}

// fail prints an error and returns the exit code.
func fail(name string, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return exitFailure
}

// load reads the settings file and checks the machine class.
func load(path string, class nodefile.Class) (*nodefile.Settings, error) {
	settings, err := nodefile.Load(path)
	if err != nil {
		return nil, err
	}
	if settings.Class != class {
		return nil, fmt.Errorf("settings: %s: machine_class is %s, but this program requires %s", path, settings.Class, class)
	}
	return settings, nil
}

// watcher waits for changes of the settings file, by SIGHUP or by polling.
type watcher struct {
	path      string
	class     nodefile.Class
	hup       <-chan os.Signal
	log       *slog.Logger
	lastStamp string // stamp of the file when it was last loaded
}

// stamp returns the modification time and size of a file, to detect changes. It is empty if the file does not exist.
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

// next waits for a change of the file or a SIGHUP and returns the new settings, or nil when ctx is done. It logs an invalid
// file and keeps waiting.
func (w *watcher) next(ctx context.Context) *nodefile.Settings {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.hup:
		case <-tick.C:
			if newStamp := stamp(w.path); newStamp == w.lastStamp {
				continue
			}
		}
		w.lastStamp = stamp(w.path)
		settings, err := load(w.path, w.class)
		if err != nil {
			w.log.Error("settings.reload_failed", "err", err)
			continue
		}
		w.log.Info("settings.reloaded", "file", w.path)
		return settings
	}
}
