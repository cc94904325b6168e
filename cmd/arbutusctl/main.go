// Command arbutusctl is the command-line tool for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"

	"github.com/arbutusspan/arbutusspan/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := ctl.New(os.Stdout).Run(ctx, os.Args)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "arbutusctl:", err)
	code := ctl.ExitFailed
	var e *ctl.Error
	if errors.As(err, &e) {
		code = e.Code
	}
	os.Exit(code)
}
