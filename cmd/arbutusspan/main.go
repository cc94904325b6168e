// Command arbutusspan is the daemon that runs on each entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/host"
)

// settingsVariable is the environment variable with the path of the settings file. The --settings flag takes precedence.
const settingsVariable = "ARBUTUSSPAN_NODE_FILE"

func main() {
	settings := &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "JSON settings `FILE`", Sources: cli.EnvVars(settingsVariable)}
	cmd := &cli.Command{
		Name:  "arbutusspan",
		Usage: "run one entry host",
		Flags: []cli.Flag{settings},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.String("settings") == "" {
				return fmt.Errorf("no settings file is given; use --settings or set %s", settingsVariable)
			}
			return run(ctx, c.String("settings"))
		},
		Commands: []*cli.Command{gatewayCommand(settings)},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "arbutusspan:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	settings, err := host.LoadSettings(path)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(settings.LogLevel)
	if err != nil {
		return fmt.Errorf("log_level is %q: use debug, info, warn or error", settings.LogLevel)
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{Level: level, ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	h := host.New(settings, logger.With("host", settings.Host))
	ctx, drain := context.WithCancel(ctx)
	defer drain()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		drain()
		<-signals // after a second signal, the host does not wait for requests in flight
		h.StopNow()
	}()
	dumps := make(chan os.Signal, 1)
	signal.Notify(dumps, syscall.SIGUSR1)
	go func() {
		for range dumps {
			h.LogState()
		}
	}()
	return h.Run(ctx)
}
