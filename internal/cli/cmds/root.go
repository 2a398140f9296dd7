// This file defines the command tree, the exit codes and the output of errors.

// Package cmds implements the command line of sycamoredeck.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/base/admin"
	"sycamoredeck.example/internal/base/setup"
	"sycamoredeck.example/internal/front/uplink"
	"sycamoredeck.example/internal/run/ctrl"
	"sycamoredeck.example/internal/run/entry"
	"sycamoredeck.example/internal/schema/wire"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitNotRun  = 3
	ExitUnknown = 4
)

type (
	// usageError is a mistake on the command line or in an input file.
	usageError struct{ error }

	// outcomeError is an unsuccessful outcome of a request, with its exit code.
	outcomeError struct {
		code   int
		reason string
	}

	// Platforms hold the daemons' adapters to a platform whose clients and agents don't
	// use the gRPC interfaces. The zero value adapts to none.
	Platforms struct {
		Entry   entry.Platform
		Control ctrl.Platform
	}

	// program holds what all commands share.
	program struct {
		out, err  io.Writer
		platforms Platforms
	}
)

// Unwrap returns the underlying error.
func (e usageError) Unwrap() error { return e.error }

// Error returns the reason.
func (e *outcomeError) Error() string { return e.reason }

// Main executes a command line and returns the exit code.
func Main(args []string, out, errOut io.Writer, platforms Platforms) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := &program{out: out, err: errOut, platforms: platforms}
	root := p.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errOut, "sycamoredeck: %s\n", errorMessage(err))
	return exitCode(err)
}

func errorMessage(err error) string {
	var outcome *outcomeError
	if errors.As(err, &outcome) {
		return outcome.reason
	}
	if s, ok := status.FromError(err); ok {
		return fmt.Sprintf("%s (%s)", s.Message(), s.Code())
	}
	return err.Error()
}

func exitCode(err error) int {
	var usage usageError
	var setting *setup.Error
	var outcome *outcomeError
	switch {
	case errors.As(err, &outcome):
		return outcome.code
	case errors.As(err, &usage), errors.As(err, &setting):
		return ExitUsage
	}
	if uplink.IsRefused(err) {
		return ExitNotRun
	}
	switch status.Code(err) {
	case codes.InvalidArgument:
		return ExitUsage
	case codes.Unavailable:
		return ExitNotRun
	case codes.Aborted, codes.DeadlineExceeded, codes.Canceled:
		return ExitUnknown
	default:
		return ExitFailed
	}
}

func (p *program) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "sycamoredeck",
		Short: "Scheduler for latency-critical and batch work that run colocated",
		Long: "Scheduler for latency-critical and batch work that run colocated.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 bad usage, 3 not run (safe to send again), 4 outcome unknown.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(p.entryCommand(), p.controlCommand(), p.callCommand(), p.jobCommand(), p.workCommand(), p.capacityCommand(), p.catalogCommand(), p.domainCommand(), p.configCommand(),
		p.memberCommand(), p.backendCommand(), p.workerCommand(), p.statusCommand(), p.versionCommand())
	requireSubcommand(root)
	return root
}

// requireSubcommand makes missing and unknown subcommands usage errors in c and all
// commands below it. By default cobra prints the help and succeeds.
func requireSubcommand(c *cobra.Command) {
	if c.HasSubCommands() && c.RunE == nil {
		c.Args = cobra.ArbitraryArgs
		c.RunE = func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("unknown command %q for %q", args[0], c.CommandPath())}
			}
			return usageError{fmt.Errorf("%q needs a command; see --help", c.CommandPath())}
		}
	} else if check := c.Args; check != nil {
		c.Args = func(c *cobra.Command, args []string) error {
			if err := check(c, args); err != nil {
				return usageError{err}
			}
			return nil
		}
	}
	for _, s := range c.Commands() {
		requireSubcommand(s)
	}
}

// daemon returns the command of a long-running process. After each SIGHUP and each change of
// the settings file, run receives the reloaded settings.
func daemon[M proto.Message](use, short string, settings M, run func(context.Context, M, *slog.Logger, <-chan M) error, p *program) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs}
	binder := setup.Bind(settings, c.Flags())
	c.RunE = func(c *cobra.Command, _ []string) error {
		// Installed first, since an unhandled SIGHUP terminates the process.
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		if err := binder.Load(); err != nil {
			return err
		}
		logger, flush := admin.Logger(p.out, commonSettings(settings))
		defer flush()
		reloads := make(chan M, 1)
		go binder.Watch(c.Context(), hangups, func() { reload(binder, logger, reloads) })
		return run(c.Context(), settings, logger, reloads)
	}
	return c
}

// commonSettings returns the settings that all daemons share.
func commonSettings(settings proto.Message) *wire.CommonSettings {
	shared, _ := settings.(interface{ GetCommon() *wire.CommonSettings })
	return shared.GetCommon()
}

// reload loads the settings again. On an error the previous settings remain in force.
func reload[M proto.Message](binder *setup.Binder, logger *slog.Logger, reloads chan M) {
	settings, err := binder.Reload()
	if err != nil {
		logger.Error("settings reload failed, previous settings remain in force", "error", err)
		return
	}
	logger.Info("settings reloaded")
	select {
	case reloads <- settings.(M):
	default:
		logger.Warn("settings change dropped, previous one not yet applied")
	}
}

func (p *program) entryCommand() *cobra.Command {
	return daemon("entry", "Run an entry process", &wire.EntrySettings{}, func(ctx context.Context, s *wire.EntrySettings, logger *slog.Logger, reloads <-chan *wire.EntrySettings) error {
		return entry.Run(ctx, s, logger, p.platforms.Entry, reloads)
	}, p)
}

func (p *program) controlCommand() *cobra.Command {
	return daemon("control", "Run a control process", &wire.ControlSettings{}, func(ctx context.Context, s *wire.ControlSettings, logger *slog.Logger, reloads <-chan *wire.ControlSettings) error {
		return ctrl.Run(ctx, s, logger, p.platforms.Control, reloads)
	}, p)
}

func (p *program) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			fmt.Fprintln(p.out, "sycamoredeck", version)
		},
	}
}
