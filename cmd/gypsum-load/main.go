// Command gypsum-load lays out installations, plays the callers and measures.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gypsumvale/internal/bench"
	"gypsumvale/internal/layout"
	"gypsumvale/internal/load"
	"gypsumvale/internal/program"
)

func main() {
	program.Main(&cli.Command{
		Name:     "gypsum-load",
		Usage:    "lay out an installation on stand-ins, load it and check every answer",
		Commands: []*cli.Command{layoutCommand(), runCommand(), benchCommand(), overheadCommand(), idleCommand(), claimsCommand(), capacityCommand(), reportCommand(), hostedCommand()},
	})
}

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: "dir", Required: true, Usage: "folder of the layout"}
}

func hostedCommand() *cli.Command {
	return &cli.Command{
		Name:  "hosted",
		Usage: "load the entries of a hosted demonstration site and check every answer",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "address for callers, for each entry"},
			&cli.IntFlag{Name: "requests", Value: 1000},
			&cli.IntFlag{Name: "parallel", Value: 20},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg := load.HostedConfig{Entries: cmd.StringSlice("entry"), Requests: cmd.Int("requests"), Concurrency: cmd.Int("parallel")}
			return load.RunHosted(ctx, cfg, os.Stdout)
		},
	}
}

func layoutCommand() *cli.Command {
	return &cli.Command{
		Name:  "layout",
		Usage: "write settings, first ticket and command lines of an installation",
		Flags: []cli.Flag{
			dirFlag(),
			&cli.StringFlag{Name: "customer", Value: "le-goff", Usage: "le-goff or teranga"},
			&cli.StringFlag{Name: "host", Value: "127.0.0.1", Usage: "IP number of every process"},
			&cli.IntFlag{Name: "base-port", Value: 21000, Usage: "port before the first"},
			&cli.IntFlag{Name: "entries", Value: layout.CurrentSizes.Entries},
			&cli.IntFlag{Name: "engines", Value: layout.CurrentSizes.Engines},
			&cli.IntFlag{Name: "services", Value: layout.CurrentSizes.Services},
			&cli.IntFlag{Name: "stores", Value: layout.CurrentSizes.Stores},
			&cli.IntFlag{Name: "workspaces", Value: layout.CurrentSizes.Workspaces},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			sizes := layout.Sizes{
				Entries: cmd.Int("entries"), Engines: cmd.Int("engines"), Services: cmd.Int("services"),
				Stores: cmd.Int("stores"), Workspaces: cmd.Int("workspaces"),
			}
			l, err := layout.New(cmd.String("customer"), cmd.String("host"), cmd.Int("base-port"), sizes)
			if err != nil {
				return fmt.Errorf("layout: %w", err)
			}
			return l.Write(cmd.String("dir"))
		},
	}
}

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure the decisions beside baselines and an oracle, in virtual time",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "sizes", Usage: "measure group sizes at the size aimed at as well"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			r := bench.RunAll()
			if cmd.Bool("sizes") {
				r.GroupSizes = bench.CompareGroupSizes()
			}
			r.Print(os.Stdout)
			return nil
		},
	}
}

// measurement is a command that measures a running layout.
func measurement(name, usage string, flags []cli.Flag, measure func(context.Context, *cli.Command, *layout.Layout) (printable, error)) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: append([]cli.Flag{dirFlag()}, flags...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			l, err := layout.Read(cmd.String("dir"))
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			result, err := measure(ctx, cmd, l)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			result.Print(os.Stdout)
			return nil
		},
	}
}

type printable interface{ Print(w io.Writer) }

func overheadCommand() *cli.Command {
	flags := []cli.Flag{&cli.IntFlag{Name: "rounds", Value: 1000}, &cli.IntFlag{Name: "through", Value: 1, Usage: "entries to go through in turn"}}
	return measurement("overhead", "compare the time to first token through entries with that straight from engines", flags,
		func(ctx context.Context, cmd *cli.Command, l *layout.Layout) (printable, error) {
			return load.MeasureOverhead(ctx, l, cmd.Int("rounds"), cmd.Int("through"))
		})
}

func idleCommand() *cli.Command {
	flags := []cli.Flag{&cli.DurationFlag{Name: "span", Value: 10 * time.Second}}
	return measurement("idle", "measure what entries use while no caller does anything", flags,
		func(ctx context.Context, cmd *cli.Command, l *layout.Layout) (printable, error) {
			return load.MeasureIdle(ctx, cmd.String("dir"), l, cmd.Duration("span"))
		})
}

func claimsCommand() *cli.Command {
	flags := []cli.Flag{&cli.IntFlag{Name: "rate", Value: 300, Usage: "bookings a second"}, &cli.DurationFlag{Name: "span", Value: 10 * time.Second}}
	return measurement("claims", "measure what a steady rate of bookings costs at the key-value service", flags,
		func(ctx context.Context, cmd *cli.Command, l *layout.Layout) (printable, error) {
			return load.MeasureClaims(ctx, l, cmd.Int("rate"), cmd.Duration("span"))
		})
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:   "capacity",
		Usage:  "measure how state, messages and time of each role grow",
		Action: func(context.Context, *cli.Command) error { return bench.MeasureCapacity(os.Stdout) },
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "write the bench's measures as a page with plots",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Value: "build/report.html", Usage: "file to write"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			r := bench.RunAll()
			r.GroupSizes = bench.CompareGroupSizes()
			return r.WriteHTML(cmd.String("out"))
		},
	}
}

var errBreach = errors.New("the run breaks a promise")

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "send a customer's mix until every request is answered",
		Flags: []cli.Flag{
			dirFlag(),
			&cli.IntFlag{Name: "requests", Value: 1000},
			&cli.IntFlag{Name: "parallel", Value: 40},
			&cli.UintFlag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "give-up", Value: 2 * time.Minute},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	l, err := layout.Read(cmd.String("dir"))
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	cfg := load.Config{
		Layout: l, Requests: cmd.Int("requests"), Concurrency: cmd.Int("parallel"), Seed: uint64(cmd.Uint("seed")),
		Mix: load.MixFor(l.Customer), GiveUpAfter: cmd.Duration("give-up"),
	}
	fmt.Printf("%s: %d requests through %d entries, %d at once, seed %d\n", l.Customer, cfg.Requests, len(l.Entries), cfg.Concurrency, cfg.Seed)
	r := load.Run(ctx, cfg)
	r.Print(os.Stdout)
	lines, err := load.LinkSummaries(ctx, l, r.Elapsed)
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	for _, line := range lines {
		fmt.Println(line)
	}
	effects, err := load.ReadEffects(ctx, l)
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	fmt.Printf("bookings: %d keys had an effect, %d of them more than one\n", effects.Keys, len(effects.Duplicates))
	if r.Wrong > 0 || r.Unanswered > 0 || len(effects.Duplicates) > 0 {
		return errBreach
	}
	return nil
}
