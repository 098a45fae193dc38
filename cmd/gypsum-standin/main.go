// Command gypsum-standin runs a stand-in for one external system.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"gypsumvale/internal/program"
	"gypsumvale/internal/protocol/platform"
	"gypsumvale/internal/standin/depot"
	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/standin/keyvalue"
	"gypsumvale/internal/standin/model"
	"gypsumvale/internal/standin/plain"
	"gypsumvale/internal/standin/roster"
	"gypsumvale/internal/standin/weights"
	"gypsumvale/internal/standin/wire"
)

func main() {
	program.Main(&cli.Command{
		Name:     "gypsum-standin",
		Usage:    "run a stand-in for an external system, with faults that can be injected over HTTP",
		Commands: []*cli.Command{keyValueCommand(), listCommand(), engineCommand(), serviceCommand(), storeCommand(), weightsCommand(), hostedCommand(), hostedStoreCommand(), hostedEndpointCommand()},
	})
}

// command returns a command that serves a stand-in's handler.
func command(name, usage string, flags []cli.Flag, handler func(*cli.Command) (http.Handler, error)) *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Required: true, Usage: "IP address and port"}
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: append([]cli.Flag{listen}, flags...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			h, err := handler(cmd)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return wire.Serve(ctx, cmd.String("listen"), h, nil)
		},
	}
}

func hostedCommand() *cli.Command {
	return command("hosted", "a hosted platform's metadata store, with endpoints that register there", nil, func(*cli.Command) (http.Handler, error) {
		store := hosted.NewStore()
		if err := hosted.StartSite(store); err != nil {
			return nil, err
		}
		return store.Handler(), nil
	})
}

func hostedStoreCommand() *cli.Command {
	return command("hosted-store", "a hosted platform's metadata store, without endpoints", nil, func(*cli.Command) (http.Handler, error) {
		return hosted.NewStore().Handler(), nil
	})
}

// leavingTime is how long an endpoint continues to serve after it has announced that it is leaving.
const leavingTime = 4 * time.Second

func hostedEndpointCommand() *cli.Command {
	return &cli.Command{
		Name:  "hosted-endpoint",
		Usage: "an endpoint that registers in a hosted platform's store and logs the requests that it runs to standard output",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "IP address and port"},
			&cli.StringFlag{Name: "advertise", Usage: "address to register, if it differs from the listening address"},
			&cli.StringFlag{Name: "store", Required: true, Usage: "address of the store"},
			&cli.StringFlag{Name: "id", Required: true, Usage: "name of the endpoint"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "name of its service"},
			&cli.StringFlag{Name: "zone", Required: true, Usage: "name of its availability zone"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum concurrent requests"},
			&cli.StringFlag{Name: "model", Usage: "model, if the endpoint is an engine"},
			&cli.IntFlag{Name: "version", Value: 1, Usage: "initial weight version"},
			&cli.StringFlag{Name: "software", Value: "v1", Usage: "version of its software"},
			&cli.IntFlag{Name: "events", Usage: "number of events in a stream"},
			&cli.DurationFlag{Name: "work", Value: 5 * time.Millisecond, Usage: "duration of a call, and of each event"},
		},
		Action: runHostedEndpoint,
	}
}

func runHostedEndpoint(ctx context.Context, cmd *cli.Command) error {
	store := hosted.NewStoreClient(cmd.String("store"))
	go store.Run(context.Background())
	endpoint, err := hosted.StartEndpoint(hosted.EndpointConfig{
		ID: cmd.String("id"), Service: cmd.String("service"), Zone: cmd.String("zone"), Slots: cmd.Int("slots"), Model: cmd.String("model"),
		Version: cmd.Int("version"), Software: cmd.String("software"), Events: cmd.Int("events"), Work: cmd.Duration("work"), Listen: cmd.String("listen"),
		Advertise: cmd.String("advertise"), Journal: os.Stdout,
	}, store)
	if err != nil {
		return fmt.Errorf("hosted endpoint: %w", err)
	}
	<-ctx.Done()
	if err := endpoint.Leave(); err != nil {
		return fmt.Errorf("hosted endpoint: %w", err)
	}
	time.Sleep(leavingTime)
	endpoint.Stop()
	return nil
}

func keyValueCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.FloatFlag{Name: "writes", Usage: "maximum writes per second; 0 means no limit"},
		&cli.FloatFlag{Name: "reads", Usage: "maximum reads per second; 0 means no limit"},
		&cli.DurationFlag{Name: "latency", Value: 2 * time.Millisecond, Usage: "duration of each call"},
	}
	return command("keyvalue", "the platform's key-value service", flags, func(cmd *cli.Command) (http.Handler, error) {
		cfg := keyvalue.Config{WritesPerSecond: cmd.Float("writes"), ReadsPerSecond: cmd.Float("reads"), Latency: cmd.Duration("latency")}
		return keyvalue.New(cfg).Handler(), nil
	})
}

func listCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "delay before changes appear in the list"},
		&cli.StringFlag{Name: "instances", Usage: "JSON file with the initial instances"},
	}
	return command("list", "the platform's list of instances", flags, func(cmd *cli.Command) (http.Handler, error) {
		s := roster.New(cmd.Duration("lag"))
		if path := cmd.String("instances"); path != "" {
			data, err := os.ReadFile(path)
			if err != nil {
				return nil, fmt.Errorf("read instances: %w", err)
			}
			var list []platform.Instance
			if err := json.Unmarshal(data, &list); err != nil {
				return nil, fmt.Errorf("read instances: %w", err)
			}
			for _, in := range list {
				s.Set(in)
			}
		}
		return s.Handler(), nil
	})
}

func engineCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum concurrent requests"},
		&cli.FloatFlag{Name: "prefill", Value: 40000, Usage: "prompt tokens per second"},
		&cli.DurationFlag{Name: "token-time", Value: 2 * time.Millisecond, Usage: "time between tokens"},
		&cli.IntFlag{Name: "cache-pieces", Value: 60, Usage: "capacity of the cache in pieces"},
		&cli.StringFlag{Name: "version", Value: "v1", Usage: "initial weight version"},
		&cli.BoolFlag{Name: "checks-fence", Usage: "reject orders with an outdated fencing token"},
		&cli.DurationFlag{Name: "load-lag", Value: 500 * time.Millisecond, Usage: "age of load reports"},
		&cli.DurationFlag{Name: "event-lag", Value: 200 * time.Millisecond, Usage: "delay of cache events"},
		&cli.DurationFlag{Name: "load-time", Value: 400 * time.Millisecond, Usage: "time to load weights without a weight store"},
		&cli.DurationFlag{Name: "crash-time", Value: 500 * time.Millisecond, Usage: "time to restart after a crash"},
		&cli.IntFlag{Name: "export-bytes", Value: 4 << 20, Usage: "size of a block"},
		&cli.DurationFlag{Name: "keep-streams", Value: 30 * time.Second, Usage: "how long a completed answer can still be resumed"},
		&cli.IntFlag{Name: "max-waiting", Value: 64, Usage: "maximum queued requests"},
		&cli.StringFlag{Name: "weights", Usage: "address of the weight store"},
	}
	return command("engine", "a model engine", flags, func(cmd *cli.Command) (http.Handler, error) {
		return model.New(model.Config{
			Slots:            cmd.Int("slots"),
			PrefillPerSecond: cmd.Float("prefill"),
			TokenTime:        cmd.Duration("token-time"),
			CachePieces:      cmd.Int("cache-pieces"),
			Version:          cmd.String("version"),
			ChecksFence:      cmd.Bool("checks-fence"),
			LoadReportLag:    cmd.Duration("load-lag"),
			EventLag:         cmd.Duration("event-lag"),
			WeightLoadTime:   cmd.Duration("load-time"),
			CrashDowntime:    cmd.Duration("crash-time"),
			ExportBytes:      int64(cmd.Int("export-bytes")),
			StreamRetention:  cmd.Duration("keep-streams"),
			MaxWaiting:       cmd.Int("max-waiting"),
			WeightStore:      cmd.String("weights"),
		}).Handler(), nil
	})
}

func serviceCommand() *cli.Command {
	flags := []cli.Flag{&cli.DurationFlag{Name: "work", Value: 3 * time.Millisecond, Usage: "duration of each call"}}
	return command("service", "a plain service that counts its effects", flags, func(cmd *cli.Command) (http.Handler, error) {
		return plain.New(cmd.Duration("work")).Handler(), nil
	})
}

func storeCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.IntFlag{Name: "link", Value: 400 << 20, Usage: "bandwidth in bytes per second"},
		&cli.IntFlag{Name: "limit", Value: 4 << 30, Usage: "capacity in bytes"},
		&cli.DurationFlag{Name: "event-lag", Value: 200 * time.Millisecond, Usage: "delay of events"},
	}
	return command("store", "a KV cache store", flags, func(cmd *cli.Command) (http.Handler, error) {
		return depot.New(depot.Config{LinkBytesPerSecond: int64(cmd.Int("link")), LimitBytes: int64(cmd.Int("limit")), EventLag: cmd.Duration("event-lag")}).Handler(), nil
	})
}

func weightsCommand() *cli.Command {
	flags := []cli.Flag{&cli.DurationFlag{Name: "load-time", Value: 400 * time.Millisecond, Usage: "duration of a load"}}
	return command("weights", "the weight store", flags, func(cmd *cli.Command) (http.Handler, error) {
		return weights.New(cmd.Duration("load-time")).Handler(), nil
	})
}
