package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// defaultExitCode is the exit code for errors that don't implement exitCoder.
const defaultExitCode = 1

// exitCoder is an error that determines the process's exit code.
type exitCoder interface {
	error
	ExitStatus() int
}

// Main runs a command with the process's arguments. SIGTERM and SIGINT cancel the command's context. If the command fails, Main prints the
// error and exits the process.
func Main(cmd *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := cmd.Run(ctx, os.Args)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.Name, err)
	var coder exitCoder
	if errors.As(err, &coder) {
		os.Exit(coder.ExitStatus())
	}
	os.Exit(defaultExitCode)
}
