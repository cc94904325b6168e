package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/eventlog"
	"github.com/arbutusspan/arbutusspan/internal/gateway"
	_ "github.com/arbutusspan/arbutusspan/internal/hangup"
	"github.com/arbutusspan/arbutusspan/platform"
)

// logCloseTimeout limits how long the process waits at exit for queued log lines to be written.
const logCloseTimeout = 200 * time.Millisecond

func gatewayCommand(settings *cli.StringFlag) *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run one entry host on the users' platform",
		Flags: []cli.Flag{settings, &cli.BoolFlag{Name: "check", Usage: "check the settings file and exit"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Bool("check") {
				_, err := gateway.LoadSettings(c.String("settings"))
				return err
			}
			return runGateway(ctx, c.String("settings"))
		},
	}
}

func runGateway(ctx context.Context, path string) error {
	settings, err := gateway.LoadSettings(path)
	if err != nil {
		return err
	}
	logger := eventlog.New(os.Stdout, settings.Level(), "host", settings.Host)
	defer logger.Close(logCloseTimeout)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT) // until the process ends, so that a further one does not interrupt the stop
	go func() {
		<-stops
		stop()
	}()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			if _, err := gateway.LoadSettings(path); err != nil {
				logger.Warn("reload", "outcome", "refused", "error", err)
				continue
			}
			logger.Info("reload", "outcome", "kept", "detail", "settings of a running host do not change; restart it for new ones")
		}
	}()
	g := gateway.New(settings, platform.New(settings.StoreAddress), logger)
	dumps := make(chan os.Signal, 1)
	signal.Notify(dumps, syscall.SIGUSR1)
	go func() {
		for range dumps {
			g.LogDump()
		}
	}()
	if err := g.Run(ctx); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	return nil
}
