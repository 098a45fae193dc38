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
	"go.uber.org/zap"

	"gypsumvale/internal/entry"
	"gypsumvale/internal/event"
	"gypsumvale/internal/gateway"
	"gypsumvale/internal/program"
	"gypsumvale/internal/settings"
	"gypsumvale/platform"
)

// hangups takes the platform's word that the settings file has changed. It is set up before anything else: a hangup that comes while
// the program starts would end it.
var hangups = make(chan os.Signal, 1)

func main() {
	signal.Notify(hangups, syscall.SIGHUP)
	program.Main(&cli.Command{
		Name:  "gypsum-entry",
		Usage: "serve callers and operators on an entry instance",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "INI file with the settings"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings, list every fault, and exit"},
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
	log, err := event.New(cfg.LogLevel, cfg.LogFormat, cfg.Name)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer log.Close()
	return entry.New(cfg, log).Run(ctx)
}

// memoryShare is the share of the allowed memory from which the collector works harder; stacks and buffers need the rest.
const memoryShare = 0.6

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
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB) * (1 << 20)))
	log, err := event.New(cfg.LogLevel, cfg.LogFormat, cfg.Name)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer log.Close()
	go rereadSettings(ctx, path, cfg, log)
	return gateway.New(cfg, log, gateway.Dependencies{
		Store:   platform.NewStoreClient(cfg.Store),
		Schema:  platform.StoreSchema{},
		Headers: platform.HeaderCodec{},
		Engines: platform.NewEngineClient(),
		Caches:  platform.NewCacheClient(),
	}).Run(ctx)
}

// rereadSettings checks a changed file when the platform says that there is one. Addresses and bounds take effect with the next start,
// since requests in flight were admitted by the ones before.
func rereadSettings(ctx context.Context, path string, cfg *settings.Hosted, log *event.Log) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		next, err := settings.ReadHosted(path)
		if err != nil {
			log.Warn(event.SettingsRechecked, "settings have faults, the old ones stay", zap.Error(err))
			continue
		}
		log.Info(event.SettingsRechecked, "settings read again", zap.Bool("changed", *next != *cfg))
	}
}
