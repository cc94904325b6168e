package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{Name: "soak", Usage: "check the promises of entry hosts on the users' platform while everything around them fails",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "of the schedule and the load; 0 draws one"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of runs, with consecutive seeds"},
			&cli.IntFlag{Name: "hosts", Usage: fmt.Sprintf("entry hosts, at most %d; 0 draws 5 or, for some seeds, as many as the machine bears", soak.MaxHosts)},
			&cli.DurationFlag{Name: "length", Value: 25 * time.Second, Usage: "of the part with faults"},
			&cli.BoolFlag{Name: "untimed", Usage: "leave out checks that need a machine with processors to spare"},
			&cli.StringSliceFlag{Name: "only", Usage: "`FAULTS` to use: " + strings.Join(soak.FaultNames(), ", ")},
			&cli.StringFlag{Name: "program", Usage: "`PATH` of the arbutusspan executable, for example of an earlier version; empty builds the present one"},
			&cli.StringFlag{Name: "dir", Usage: "for settings, and for logs after a breach; empty for a new one", Value: ""},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if hosts := c.Int("hosts"); hosts < 0 || hosts > soak.MaxHosts {
				return fmt.Errorf("--hosts is %d: use 0 to %d", hosts, soak.MaxHosts)
			}
			if seeds := c.Int("seeds"); seeds < 1 {
				return fmt.Errorf("--seeds is %d: use 1 or more", seeds)
			}
			program := c.String("program")
			if program == "" {
				bin, err := build(c.String("root"))
				if err != nil {
					return err
				}
				program = bin["arbutusspan"]
			}
			dir := c.String("dir")
			if dir == "" {
				var err error
				if dir, err = os.MkdirTemp("", "spanload-soak-"); err != nil {
					return err
				}
			}
			first := cmp.Or(c.Uint64("seed"), rand.Uint64N(1_000_000)+1)
			failed := 0
			for i := uint64(0); i < uint64(c.Int("seeds")) && ctx.Err() == nil; i++ {
				err := soak.Run(ctx, soak.Config{Seed: first + i, Hosts: c.Int("hosts"), Length: c.Duration("length"), Timed: !c.Bool("untimed"),
					Only: c.StringSlice("only"), Program: program, Dir: dir, Out: os.Stdout})
				if err != nil {
					fmt.Println("soak:", err)
					failed++
				}
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds failed", failed, c.Int("seeds"))
			}
			return nil
		}}
}
