package ctl

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

// New returns the command line of arbutusctl. Results go to out.
func New(out io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  "arbutusctl",
		Usage:                 "publish contracts and inspect a running arbutusspan deployment",
		Description:           "Any entry host can be queried; it forwards queries to the other hosts.\nExit codes: 0 done, 1 failed, 2 wrong usage or invalid document, 3 conflict with an earlier change, 4 outcome unknown, 5 not found, 6 not authorized, 7 no host reached, 8 hosts differ.",
		EnableShellCompletion: true,
		Writer:                out,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "host", Usage: "operator `URL` of an entry host; repeat it for fallback hosts", Sources: cli.EnvVars("ARBUTUSCTL_HOST")},
			&cli.StringFlag{Name: "token", Usage: "operator `TOKEN`; the environment variable keeps it out of the process list", Sources: cli.EnvVars("ARBUTUSCTL_TOKEN")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT` of results: table or json", Value: "table", Validator: validOutput},
			&cli.DurationFlag{Name: "timeout", Usage: "give up after this `TIME`", Value: 15 * time.Second},
		},
		Commands: []*cli.Command{contractCommand(), limitsCommand(), statusCommand(), stateCommand(), refusalCommand(), hostCommand(), upstreamsCommand(), gatewayCommand()},
		// The caller of Run handles errors and exit codes, so that tests can run commands.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	setUsageErrorHandler(root)
	return root
}

// setUsageErrorHandler makes usage errors of a command and its subcommands an Error with the exit code ExitUsage.
func setUsageErrorHandler(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usageError("%v; run %s --help", err, c.FullName())
	}
	for _, sub := range c.Commands {
		setUsageErrorHandler(sub)
	}
}

func validOutput(s string) error {
	if s != "table" && s != "json" {
		return usageError("output is %q: use table or json", s)
	}
	return nil
}

// action implements a command that sends requests to a host.
type action func(ctx context.Context, s *session) error

// session holds the client, the printer and the parsed arguments of one command.
type session struct {
	*client
	*printer
	cmd *cli.Command
}

// withSession returns a cli.ActionFunc that runs the action with a session made from the global flags.
func withSession(run action) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		hosts := cmd.StringSlice("host")
		if len(hosts) == 0 {
			return usageError("no host is given; use --host URL or set ARBUTUSCTL_HOST")
		}
		if cmd.String("token") == "" {
			return usageError("no operator token is given; set ARBUTUSCTL_TOKEN or use --token")
		}
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		return run(ctx, &session{
			client:  &client{hosts: hosts, token: cmd.String("token"), http: newHTTPClient()},
			printer: newPrinter(cmd),
			cmd:     cmd,
		})
	}
}

func newPrinter(cmd *cli.Command) *printer {
	return &printer{w: cmd.Root().Writer, json: cmd.String("output") == "json"}
}

// argument returns the only argument of a command.
func argument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usageError("%s takes one argument, %s; got %d", cmd.FullName(), name, cmd.Args().Len())
	}
	return cmd.Args().First(), nil
}
