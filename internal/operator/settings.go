package operator

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"regexp"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// settingsTimeout bounds the query of one instance.
const settingsTimeout = 3 * time.Second

// heldSettings are the settings that one instance holds.
type heldSettings struct {
	Address  string `json:"address"`
	Instance string `json:"instance,omitempty"`
	// Bounds is the digest of the bounds alone, and Digest that of the whole file.
	Bounds string `json:"bounds,omitempty"`
	Digest string `json:"digest,omitempty"`
	// Error is why the instance could not be queried.
	Error string `json:"error,omitempty"`
}

func (a *app) settingsCommand() *cli.Command {
	return &cli.Command{
		Name:      "settings",
		Usage:     "show which settings file each instance holds, by the digest of its content",
		ArgsUsage: "METRICS_ADDRESS...",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return &ExitError{ExitUsage, errors.New("at least one metrics address must be given")}
			}
			held := make([]heldSettings, cmd.Args().Len())
			var wg sync.WaitGroup
			for i, address := range cmd.Args().Slice() {
				wg.Go(func() { held[i] = querySettings(ctx, address) })
			}
			wg.Wait()
			if err := a.output(cmd, held, "ADDRESS\tINSTANCE\tBOUNDS\tSETTINGS\tERROR", func(add func(...any)) {
				for _, h := range held {
					add(h.Address, h.Instance, h.Bounds, h.Digest, h.Error)
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

var settingsMetric = regexp.MustCompile(`^gypsum_settings_info\{bounds="([^"]*)",digest="([^"]*)",instance="([^"]*)"\} 1$`)

// querySettings reads the settings' digest from an instance's metrics.
func querySettings(ctx context.Context, address string) heldSettings {
	h := heldSettings{Address: address}
	err := readMetrics(ctx, address, func(line string) bool {
		m := settingsMetric.FindStringSubmatch(line)
		if m == nil {
			return true
		}
		h.Bounds, h.Digest, h.Instance = m[1], m[2], m[3]
		return false
	})
	switch {
	case err != nil:
		h.Error = err.Error()
	case h.Digest == "":
		h.Error = "no settings among the metrics"
	}
	return h
}

// readMetrics calls a function for each line of an instance's metrics until it returns false.
func readMetrics(ctx context.Context, address string, next func(line string) bool) error {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return fmt.Errorf("query metrics: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("query metrics: %w", err)
	}
	// Only the body's lines are of interest; an error of Close changes nothing.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("query metrics: status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !next(lines.Text()) {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	return nil
}
