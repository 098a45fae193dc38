// Command gypsum-entry is the daemon of an entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"gypsumvale/internal/entry"
	"gypsumvale/internal/event"
	"gypsumvale/internal/gateway"
	"gypsumvale/internal/program"
	"gypsumvale/internal/settings"
	"gypsumvale/platform"
)

// reloadSignals receives SIGHUP, which the platform sends when the settings file has changed. It is registered before anything else, since
// an unhandled SIGHUP during startup would terminate the process.
var reloadSignals = make(chan os.Signal, 1)

func main() {
	signal.Notify(reloadSignals, syscall.SIGHUP)
	program.Main(&cli.Command{
		Name:  "gypsum-entry",
		Usage: "run an entry instance that serves callers and operators",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "INI file with the settings"},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings, list all faults, and exit"},
		},
		Action: run,
	})
}

func run(ctx context.Context, cmd *cli.Command) error {
	path := cmd.String("settings")
	edge, err := settings.ReadEdge(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if edge == settings.EdgeHosted {
		return runHosted(ctx, path, cmd.Bool("check"))
	}
	return runNative(ctx, path, cmd.Bool("check"))
}

func runNative(ctx context.Context, path string, check bool) error {
	cfg, err := settings.ReadEntry(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if check {
		fmt.Printf("%s: no faults\n", path)
		return nil
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * cfg.MemoryMB * (1 << 20)))
	}
	log, err := event.New(cfg.LogLevel, cfg.LogFormat, cfg.Name)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer log.Close()
	return entry.New(cfg, log).Run(ctx)
}

// memoryLimitShare is the share of the process's memory that is set as the garbage collector's soft limit. Stacks and buffers need the
// rest.
const memoryLimitShare = 0.6

func runHosted(ctx context.Context, path string, check bool) error {
	cfg, err := settings.ReadHosted(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if check {
		fmt.Printf("%s: no faults\n", path)
		return nil
	}
	runtime.GOMAXPROCS(cfg.Threads)
	debug.SetMemoryLimit(int64(memoryLimitShare * cfg.MemoryMB * (1 << 20)))
	log, err := event.New(cfg.LogLevel, cfg.LogFormat, cfg.Name)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer log.Close()
	node := gateway.New(cfg, log, gateway.Dependencies{
		Store:   platform.NewStoreClient(cfg.Store),
		Schema:  platform.StoreSchema{},
		Headers: platform.HeaderCodec{},
		Engines: platform.NewEngineClient(),
		Caches:  platform.NewCacheClient(),
	})
	go node.WatchSettings(ctx, path, reloadSignals)
	return node.Run(ctx)
}
