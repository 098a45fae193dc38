package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/layout"
	"gypsumvale/internal/standin/keyvalue"
	"gypsumvale/internal/transport/admin"
)

// IdleEntry is what one entry uses while no caller does anything.
type IdleEntry struct {
	Name string
	// CPU is the share of one core, and Memory the resident and heap size in bytes.
	CPU    float64
	Memory int64
	// BytesPerSecond counts the peer protocol, both ways.
	BytesPerSecond float64
	Members        int
}

// IdleReport is the idle use of all entries of a layout.
type IdleReport struct {
	Entries []IdleEntry
	// PlatformCallsPerSecond is the calls a second at the key-value service, of all entries.
	PlatformCallsPerSecond float64
}

// clockTicks is the number of a process's CPU ticks in a second, as the kernel counts them.
const clockTicks = 100

type usage struct {
	cpu   float64
	rss   int64
	bytes int64
}

// MeasureIdle watches the entries of a layout for a while; the process numbers come from the file that the start script writes.
func MeasureIdle(ctx context.Context, dir string, l *layout.Layout, span time.Duration) (*IdleReport, error) {
	pids, err := entryPIDs(dir)
	if err != nil {
		return nil, fmt.Errorf("measure idle: %w", err)
	}
	before, calls, err := snapshot(ctx, l, pids)
	if err != nil {
		return nil, fmt.Errorf("measure idle: %w", err)
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("measure idle: %w", ctx.Err())
	case <-time.After(span):
	}
	after, callsAfter, err := snapshot(ctx, l, pids)
	if err != nil {
		return nil, fmt.Errorf("measure idle: %w", err)
	}
	r := &IdleReport{PlatformCallsPerSecond: float64(callsAfter-calls) / span.Seconds()}
	for _, e := range l.Entries {
		a, b := before[e.Name], after[e.Name]
		members, err := membersOf(ctx, l, e)
		if err != nil {
			return nil, fmt.Errorf("measure idle: %w", err)
		}
		r.Entries = append(r.Entries, IdleEntry{
			Name: e.Name, CPU: (b.cpu - a.cpu) / span.Seconds(), Memory: b.rss,
			BytesPerSecond: float64(b.bytes-a.bytes) / span.Seconds(), Members: members,
		})
	}
	return r, nil
}

func entryPIDs(dir string) (map[string]int, error) {
	data, err := os.ReadFile(filepath.Join(dir, "pids"))
	if err != nil {
		return nil, fmt.Errorf("read process numbers: %w", err)
	}
	pids := make(map[string]int)
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 4 || fields[1] != "gypsum-entry" {
			continue
		}
		pid, err := strconv.Atoi(fields[0])
		if err != nil {
			return nil, fmt.Errorf("read process numbers: %w", err)
		}
		pids[strings.TrimSuffix(filepath.Base(fields[3]), ".ini")] = pid
	}
	return pids, nil
}

func snapshot(ctx context.Context, l *layout.Layout, pids map[string]int) (map[string]usage, int64, error) {
	all := make(map[string]usage)
	for _, e := range l.Entries {
		u, err := processUsage(pids[e.Name])
		if err != nil {
			return nil, 0, err
		}
		s, err := stateOf(ctx, l, e)
		if err != nil {
			return nil, 0, err
		}
		u.bytes = s.ControlBytesIn + s.ControlBytesOut
		all[e.Name] = u
	}
	var s keyvalue.Stats
	if err := GetJSON(ctx, "http://"+l.KeyValue+"/stats", &s); err != nil {
		return nil, 0, err
	}
	return all, s.Reads + s.Writes + s.Watches + s.Leases + s.Lists + s.Deletes, nil
}

func stateOf(ctx context.Context, l *layout.Layout, e layout.Entry) (admin.State, error) {
	var s admin.State
	err := getAuthorized(ctx, "http://"+e.Operators+"/admin/v1/state", l.OperatorToken, &s)
	return s, err
}

func membersOf(ctx context.Context, l *layout.Layout, e layout.Entry) (int, error) {
	s, err := stateOf(ctx, l, e)
	return s.Members, err
}

var errNoProcess = errors.New("no such process")

// processUsage reads a process's CPU time and resident size from the kernel.
func processUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read usage: %w", err)
	}
	_, rest, found := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, rssField = 11, 12, 21
	if !found || len(fields) <= rssField {
		return usage{}, fmt.Errorf("read usage of %d: %w", pid, errNoProcess)
	}
	user, err1 := strconv.ParseFloat(fields[userField], 64)
	system, err2 := strconv.ParseFloat(fields[systemField], 64)
	pages, err3 := strconv.ParseInt(fields[rssField], 10, 64)
	if err := errors.Wrap(firstError(err1, err2, err3), "read usage"); err != nil {
		return usage{}, err
	}
	return usage{cpu: (user + system) / clockTicks, rss: pages * int64(os.Getpagesize())}, nil
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}

// Print writes the largest and the median use.
func (r *IdleReport) Print(w io.Writer) {
	p := printer{w: w}
	pick := func(value func(*IdleEntry) float64) (median, highest float64) {
		list := make([]float64, len(r.Entries))
		for i := range r.Entries {
			list[i] = value(&r.Entries[i])
		}
		sort.Float64s(list)
		return list[len(list)/2], list[len(list)-1]
	}
	cpu, cpuMax := pick(func(i *IdleEntry) float64 { return 100 * i.CPU })
	memory, memoryMax := pick(func(i *IdleEntry) float64 { return float64(i.Memory) / (1 << 20) })
	traffic, trafficMax := pick(func(i *IdleEntry) float64 { return i.BytesPerSecond / 1024 })
	members, _ := pick(func(i *IdleEntry) float64 { return float64(i.Members) })
	p.line("idle, %d entries (median know %.0f): CPU %.2f%% of a core (most %.2f), memory %.1f MB (most %.1f), peers %.1f KB/s (most %.1f), platform %.2f calls/s in all",
		len(r.Entries), members, cpu, cpuMax, memory, memoryMax, traffic, trafficMax, r.PlatformCallsPerSecond)
}
