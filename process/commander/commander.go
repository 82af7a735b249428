// Package commander implements the command-line interface.
package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sassafraspass.dev/sassafraspass/decoder"
	"sassafraspass.dev/sassafraspass/platform"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/gateway"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/reloader"
	"sassafraspass.dev/sassafraspass/process/server"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/publisher"
)

// Commander runs the commands of the program.
type Commander struct {
	stdout io.Writer
	stderr io.Writer
}

// New returns a commander that writes results to stdout, and errors and help to
// stderr. Daemons write their logs to stderr, and those on the platform to
// stdout.
func New(stdout, stderr io.Writer) *Commander {
	return &Commander{stdout: stdout, stderr: stderr}
}

// errUsage marks errors in the arguments of the command line.
var errUsage = errors.New("wrong usage")

// Run parses the arguments, runs the command that they name and returns its exit
// code. SIGINT and SIGTERM cancel the command's context.
func (c *Commander) Run(args []string) ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := c.rootCommand()
	err := root.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		err = fmt.Errorf("%w: %w", errUsage, err)
	}
	if err == nil {
		err = root.Run(ctx)
	}
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintln(c.stderr, "sassafraspass:", err)
	}
	return exitCode(err)
}

func exitCode(err error) ExitCode {
	var fieldErr *decoder.FieldError
	var rejectedErr *publisher.RejectedError
	var notInForceErr *publisher.NotInForceError
	switch {
	case err == nil:
		return ExitSuccess
	case errors.Is(err, errUsage), errors.Is(err, flag.ErrHelp):
		return ExitUsage
	case errors.As(err, &fieldErr):
		return ExitInvalid
	case errors.As(err, &rejectedErr):
		return ExitRejected
	case errors.As(err, &notInForceErr):
		return ExitNotInForce
	case errors.Is(err, server.ErrRemoved):
		return ExitRemoved
	}
	return ExitFailure
}

func (c *Commander) rootCommand() *ffcli.Command {
	flags := flag.NewFlagSet("sassafraspass", flag.ContinueOnError)
	flags.SetOutput(c.stderr)
	version := flags.Bool("version", false, "print the version")
	return &ffcli.Command{
		Name:        "sassafraspass",
		FlagSet:     flags,
		UsageFunc:   func(*ffcli.Command) string { return usage },
		Subcommands: []*ffcli.Command{c.serveCommand(), c.publishCommand(), c.checkCommand(), c.statusCommand(), c.explainCommand(), c.demoCommand(), c.standInCommand()},
		Exec: func(_ context.Context, args []string) error {
			if *version {
				_, _ = fmt.Fprintln(c.stdout, "sassafraspass", Version)
				return nil
			}
			if len(args) > 0 {
				return fmt.Errorf("%w: there is no command %q; see sassafraspass -h", errUsage, args[0])
			}
			_, _ = fmt.Fprint(c.stderr, usage)
			return flag.ErrHelp
		},
	}
}

// newCommand returns a subcommand whose flags print their errors and help to
// stderr. Run reports such errors as wrong usage.
func (c *Commander) newCommand(name, help string, flags *flag.FlagSet, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	flags.SetOutput(c.stderr)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "sassafraspass " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    flags,
		Exec:       exec,
	}
}

func (c *Commander) serveCommand() *ffcli.Command {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	path := flags.String("settings", "", "the settings `file`, JSON with comments")
	return c.newCommand("serve", "run a daemon", flags, func(ctx context.Context, _ []string) error {
		if *path == "" {
			return fmt.Errorf("%w: -settings is missing", errUsage)
		}
		settings, err := configurer.Load(*path)
		if err != nil {
			return err
		}
		if settings.Gateway != nil {
			return c.runGateway(ctx, *path, settings)
		}
		log := logger.New(c.stderr, settings.LogLevel)
		daemon, cleanup, err := server.New(settings, log, clockwork.NewRealClock())
		if err != nil {
			return err
		}
		defer cleanup()
		return daemon.Run(ctx)
	})
}

// runGateway runs a daemon that proxies requests on the platform. It reloads the
// settings file when it changes.
func (c *Commander) runGateway(ctx context.Context, path string, settings configurer.Settings) error {
	drivers, closeDrivers := platform.NewDrivers(settings.LogAddress)
	defer closeDrivers()
	clock := clockwork.NewRealClock()
	log, closeLog := logger.NewRateLimited(c.stdout, settings.LogLevel, settings.Gateway.MaxLogLinesPerSecond, clock)
	defer closeLog()
	daemon, cleanup, err := gateway.New(settings, drivers, log, clock)
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watcher := &reloader.Reloader{
		Path:  path,
		Apply: daemon.Reload,
		Clock: clock,
		Log:   logger.For(log, logger.Process),
	}
	stopWatching := watcher.Start(ctx)
	defer stopWatching()
	return daemon.Run(ctx)
}

func (c *Commander) checkCommand() *ffcli.Command {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	path := flags.String("settings", "", "a settings `file` to check too")
	return c.newCommand("check", "check settings and publications", flags, func(_ context.Context, args []string) error {
		if *path == "" && len(args) == 0 {
			return fmt.Errorf("%w: name a file to check", errUsage)
		}
		if *path != "" {
			_, err := configurer.Load(*path)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintln(c.stdout, *path, "is valid")
		}
		for _, file := range args {
			_, err := readPublication(file)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintln(c.stdout, file, "is valid")
		}
		return nil
	})
}

func readPublication(file string) (pub *parser.Publication, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read publication: %w", err)
	}
	return parser.Parse(file, text)
}
