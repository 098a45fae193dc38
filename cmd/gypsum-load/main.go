// Command gypsum-load generates test installations, sends load to them as their callers would, and runs measurements.
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
		Usage:    "generate an installation on stand-ins, load it and check every answer",
		Commands: []*cli.Command{layoutCommand(), runCommand(), benchCommand(), overheadCommand(), idleCommand(), claimsCommand(), capacityCommand(), reportCommand(), hostedCommand()},
	})
}

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: "dir", Required: true, Usage: "directory of the layout"}
}

func hostedCommand() *cli.Command {
	return &cli.Command{
		Name:  "hosted",
		Usage: "load the entry instances of a hosted demo site and check every answer",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "callers' address of an entry instance; repeat for each instance"},
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
		Usage: "write the settings, the first ticket and the command lines of an installation",
		Flags: []cli.Flag{
			dirFlag(),
			&cli.StringFlag{Name: "customer", Value: "le-goff", Usage: "le-goff or teranga"},
			&cli.StringFlag{Name: "host", Value: "127.0.0.1", Usage: "IP address of all processes"},
			&cli.IntFlag{Name: "base-port", Value: 21000, Usage: "port below the first one used"},
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
		Usage: "compare placement decisions with baselines and an oracle, in virtual time",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "sizes", Usage: "also measure group sizes at the target size"}},
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

// measurement returns a command that measures a running layout and prints the result.
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
	flags := []cli.Flag{&cli.IntFlag{Name: "rounds", Value: 1000}, &cli.IntFlag{Name: "through", Value: 1, Usage: "number of entry instances to use in rotation"}}
	return measurement("overhead", "compare the time to first token through entry instances with that of direct requests to engines", flags,
		func(ctx context.Context, cmd *cli.Command, l *layout.Layout) (printable, error) {
			return load.MeasureOverhead(ctx, l, cmd.Int("rounds"), cmd.Int("through"))
		})
}

func idleCommand() *cli.Command {
	flags := []cli.Flag{&cli.DurationFlag{Name: "span", Value: 10 * time.Second}}
	return measurement("idle", "measure the resource use of idle entry instances", flags,
		func(ctx context.Context, cmd *cli.Command, l *layout.Layout) (printable, error) {
			return load.MeasureIdle(ctx, cmd.String("dir"), l, cmd.Duration("span"))
		})
}

func claimsCommand() *cli.Command {
	flags := []cli.Flag{&cli.IntFlag{Name: "rate", Value: 300, Usage: "bookings per second"}, &cli.DurationFlag{Name: "span", Value: 10 * time.Second}}
	return measurement("claims", "measure the calls to the key-value service at a steady rate of bookings", flags,
		func(ctx context.Context, cmd *cli.Command, l *layout.Layout) (printable, error) {
			return load.MeasureClaims(ctx, l, cmd.Int("rate"), cmd.Duration("span"))
		})
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:   "capacity",
		Usage:  "measure how the state, messages and CPU time of each role grow",
		Action: func(context.Context, *cli.Command) error { return bench.MeasureCapacity(os.Stdout) },
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "write the results of bench as an HTML page with plots",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Value: "build/report.html", Usage: "file to write"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			r := bench.RunAll()
			r.GroupSizes = bench.CompareGroupSizes()
			return r.WriteHTML(cmd.String("out"))
		},
	}
}

var errCheckFailed = errors.New("wrong or missing answers, or duplicate effects")

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "send a customer's mix of requests until all are answered",
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
		return errCheckFailed
	}
	return nil
}
