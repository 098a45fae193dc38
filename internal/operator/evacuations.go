package operator

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// heldEvacuation is a zone that one instance holds to be evacuated, or an instance that holds none or could not be queried.
type heldEvacuation struct {
	Address  string `json:"address"`
	Instance string `json:"instance,omitempty"`
	// Zone is empty if the instance holds no zone to be evacuated.
	Zone string `json:"zone,omitempty"`
	// Since is when the evacuation was first noticed, by this machine's clock.
	Since string `json:"since,omitempty"`
	// Running is the number of the instance's requests at endpoints of the zone.
	Running int `json:"running"`
	// Error is why the instance could not be queried.
	Error string `json:"error,omitempty"`
}

func (a *app) evacuationsCommand() *cli.Command {
	return &cli.Command{
		Name:      "evacuations",
		Usage:     "show which zones each instance of the hosted edge holds to be evacuated, since when, and what still runs there",
		ArgsUsage: "METRICS_ADDRESS...",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return &ExitError{ExitUsage, errors.New("at least one metrics address must be given")}
			}
			byInstance := make([][]heldEvacuation, cmd.Args().Len())
			var wg sync.WaitGroup
			for i, address := range cmd.Args().Slice() {
				wg.Go(func() { byInstance[i] = queryEvacuations(ctx, address, time.Now()) })
			}
			wg.Wait()
			var held []heldEvacuation
			for _, list := range byInstance {
				held = append(held, list...)
			}
			if err := a.output(cmd, held, "ADDRESS\tINSTANCE\tZONE\tSINCE\tRUNNING\tERROR", func(add func(...any)) {
				for _, h := range held {
					add(h.Address, h.Instance, h.Zone, h.Since, h.Running, h.Error)
				}
			}); err != nil {
				return err
			}
			for _, h := range held {
				if h.Error != "" {
					return &ExitError{ExitUnavailable, fmt.Errorf("%s: %s", h.Address, h.Error)}
				}
			}
			return nil
		},
	}
}

var (
	evacuatedMetric = regexp.MustCompile(`^gypsum_zone_evacuated_seconds\{zone=("(?:[^"\\]|\\.)*")\} (\S+)$`)
	runningMetric   = regexp.MustCompile(`^gypsum_zone_running_requests\{zone=("(?:[^"\\]|\\.)*")\} (\S+)$`)
)

// queryEvacuations reads the evacuated zones from an instance's metrics; one without a zone stands for an instance that holds none.
func queryEvacuations(ctx context.Context, address string, now time.Time) []heldEvacuation {
	instance := ""
	var held []heldEvacuation
	running := make(map[string]int)
	err := readMetrics(ctx, address, func(line string) bool {
		if m := settingsMetric.FindStringSubmatch(line); m != nil {
			instance = m[3]
		}
		if zone, value, ok := zoneMetric(evacuatedMetric, line); ok {
			since := now.Add(-time.Duration(value * float64(time.Second))).UTC().Format(time.RFC3339)
			held = append(held, heldEvacuation{Address: address, Zone: zone, Since: since})
		}
		if zone, value, ok := zoneMetric(runningMetric, line); ok {
			running[zone] = int(value)
		}
		return true
	})
	if err != nil {
		return []heldEvacuation{{Address: address, Error: err.Error()}}
	}
	if len(held) == 0 {
		held = []heldEvacuation{{Address: address}}
	}
	for i := range held {
		held[i].Instance, held[i].Running = instance, running[held[i].Zone]
	}
	return held
}

// zoneMetric returns the zone and the value in a line of a metric, and whether it is one.
func zoneMetric(metric *regexp.Regexp, line string) (zone string, value float64, ok bool) {
	m := metric.FindStringSubmatch(line)
	if m == nil {
		return "", 0, false
	}
	zone, zoneErr := strconv.Unquote(m[1])
	value, valueErr := strconv.ParseFloat(m[2], 64)
	return zone, value, zoneErr == nil && valueErr == nil
}
