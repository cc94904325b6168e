// Command spanload puts load on deployments of stand-ins and hosts on this machine, for demonstration and measurement.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	root := &cli.StringFlag{Name: "root", Usage: "`DIRECTORY` of the source tree", Value: "."}
	cmd := &cli.Command{Name: "spanload", Usage: "load, demonstrate and measure arbutusspan", Flags: []cli.Flag{root},
		Commands: []*cli.Command{demoCommand(), benchCommand(), experimentCommand(), capacityCommand(), chaosCommand(), soakCommand(), reportCommand()}}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "spanload:", err)
		os.Exit(1)
	}
}
