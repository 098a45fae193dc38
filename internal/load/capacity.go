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

// IdleEntry is the resource use of one entry without requests.
type IdleEntry struct {
	Name string
	// CPU is the share of one core, and Memory the resident set size in bytes.
	CPU    float64
	Memory int64
	// BytesPerSecond is the traffic of the peer protocol in both directions.
	BytesPerSecond float64
	Members        int
}

// IdleReport holds the idle resource use of all entries of a layout.
type IdleReport struct {
	Entries []IdleEntry
	// PlatformCallsPerSecond is the number of calls per second of all entries to the key-value service.
	PlatformCallsPerSecond float64
}

// clockTicksPerSecond is the unit of the CPU times in /proc/PID/stat (USER_HZ).
const clockTicksPerSecond = 100

type processStats struct {
	cpuSeconds    float64
	residentBytes int64
	peerBytes     int64
}

// MeasureIdle measures the entries of a layout over a period. It reads the process IDs from the file that the start script writes.
func MeasureIdle(ctx context.Context, dir string, l *layout.Layout, period time.Duration) (*IdleReport, error) {
	pids, err := readEntryPIDs(dir)
	if err != nil {
		return nil, fmt.Errorf("measure idle: %w", err)
	}
	before, callsBefore, err := collectStats(ctx, l, pids)
	if err != nil {
		return nil, fmt.Errorf("measure idle: %w", err)
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("measure idle: %w", ctx.Err())
	case <-time.After(period):
	}
	after, callsAfter, err := collectStats(ctx, l, pids)
	if err != nil {
		return nil, fmt.Errorf("measure idle: %w", err)
	}
	r := &IdleReport{PlatformCallsPerSecond: float64(callsAfter-callsBefore) / period.Seconds()}
	for _, e := range l.Entries {
		first, last := before[e.Name], after[e.Name]
		members, err := memberCount(ctx, l, e)
		if err != nil {
			return nil, fmt.Errorf("measure idle: %w", err)
		}
		r.Entries = append(r.Entries, IdleEntry{
			Name: e.Name, CPU: (last.cpuSeconds - first.cpuSeconds) / period.Seconds(), Memory: last.residentBytes,
			BytesPerSecond: float64(last.peerBytes-first.peerBytes) / period.Seconds(), Members: members,
		})
	}
	return r, nil
}

func readEntryPIDs(dir string) (map[string]int, error) {
	data, err := os.ReadFile(filepath.Join(dir, "pids"))
	if err != nil {
		return nil, fmt.Errorf("read process IDs: %w", err)
	}
	pids := make(map[string]int)
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 4 || fields[1] != "gypsum-entry" {
			continue
		}
		pid, err := strconv.Atoi(fields[0])
		if err != nil {
			return nil, fmt.Errorf("parse process ID: %w", err)
		}
		pids[strings.TrimSuffix(filepath.Base(fields[3]), ".ini")] = pid
	}
	return pids, nil
}

func collectStats(ctx context.Context, l *layout.Layout, pids map[string]int) (map[string]processStats, int64, error) {
	byEntry := make(map[string]processStats)
	for _, e := range l.Entries {
		process, err := readProcessStats(pids[e.Name])
		if err != nil {
			return nil, 0, err
		}
		s, err := entryState(ctx, l, e)
		if err != nil {
			return nil, 0, err
		}
		process.peerBytes = s.ControlBytesIn + s.ControlBytesOut
		byEntry[e.Name] = process
	}
	var s keyvalue.Stats
	if err := GetJSON(ctx, "http://"+l.KeyValue+"/stats", &s); err != nil {
		return nil, 0, err
	}
	return byEntry, s.Reads + s.Writes + s.Watches + s.Leases + s.Lists + s.Deletes, nil
}

func entryState(ctx context.Context, l *layout.Layout, e layout.Entry) (admin.State, error) {
	var s admin.State
	err := getAuthorized(ctx, "http://"+e.Operators+"/admin/v1/state", l.OperatorToken, &s)
	return s, err
}

func memberCount(ctx context.Context, l *layout.Layout, e layout.Entry) (int, error) {
	s, err := entryState(ctx, l, e)
	return s.Members, err
}

var errNoProcess = errors.New("no such process")

// readProcessStats reads a process's CPU time and resident set size from /proc.
func readProcessStats(pid int) (processStats, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processStats{}, fmt.Errorf("read process stats: %w", err)
	}
	_, rest, found := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, rssField = 11, 12, 21
	if !found || len(fields) <= rssField {
		return processStats{}, fmt.Errorf("read stats of process %d: %w", pid, errNoProcess)
	}
	user, err1 := strconv.ParseFloat(fields[userField], 64)
	system, err2 := strconv.ParseFloat(fields[systemField], 64)
	pages, err3 := strconv.ParseInt(fields[rssField], 10, 64)
	if err := errors.Wrap(firstError(err1, err2, err3), "parse process stats"); err != nil {
		return processStats{}, err
	}
	return processStats{cpuSeconds: (user + system) / clockTicksPerSecond, residentBytes: pages * int64(os.Getpagesize())}, nil
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}

// Print writes the median and the maximum over all entries.
func (r *IdleReport) Print(w io.Writer) {
	p := printer{w: w}
	medianAndMax := func(value func(*IdleEntry) float64) (median, highest float64) {
		list := make([]float64, len(r.Entries))
		for i := range r.Entries {
			list[i] = value(&r.Entries[i])
		}
		sort.Float64s(list)
		return list[len(list)/2], list[len(list)-1]
	}
	cpu, cpuMax := medianAndMax(func(i *IdleEntry) float64 { return 100 * i.CPU })
	memory, memoryMax := medianAndMax(func(i *IdleEntry) float64 { return float64(i.Memory) / (1 << 20) })
	traffic, trafficMax := medianAndMax(func(i *IdleEntry) float64 { return i.BytesPerSecond / 1024 })
	members, _ := medianAndMax(func(i *IdleEntry) float64 { return float64(i.Members) })
	p.line("idle, %d entries (median %.0f members): CPU %.2f%% of a core (max %.2f), memory %.1f MB (max %.1f), peers %.1f KB/s (max %.1f), platform %.2f calls/s in total",
		len(r.Entries), members, cpu, cpuMax, memory, memoryMax, traffic, trafficMax, r.PlatformCallsPerSecond)
}
