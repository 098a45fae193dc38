package bench_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gypsumvale/internal/bench"
	"gypsumvale/internal/red"
)

// TestTargets holds the design to its targets; the seed is fixed, so every run gives the same figures.
func TestTargets(t *testing.T) {
	r := bench.RunAll()
	for i := range r.Checks {
		c := &r.Checks[i]
		switch {
		case c.Met():
		case red.Known("TestTargets", c.Name):
			t.Logf("KNOWN RED: %s: %.3f, target %.3f %s", c.Name, c.Figure, c.Limit, c.Unit)
		default:
			t.Errorf("%s: %.3f, target %.3f %s", c.Name, c.Figure, c.Limit, c.Unit)
		}
	}
}

// TestSameSeedSameFigures runs one scenario twice.
func TestSameSeedSameFigures(t *testing.T) {
	once := func() string {
		s := bench.PeakLoad()
		var out bytes.Buffer
		r := &bench.Report{Results: []*bench.Result{bench.Run(s, bench.PolicyGroups)}}
		r.Print(&out)
		return out.String()
	}
	if a, b := once(), once(); a != b {
		t.Errorf("two runs differ:\n%s\n%s", a, b)
	}
}

// TestReport writes a small report and looks for its plots.
func TestReport(t *testing.T) {
	s := bench.ShortOnly()
	s.Duration /= 20
	r := &bench.Report{}
	for _, p := range bench.Policies {
		r.Results = append(r.Results, bench.Run(s, p))
	}
	path := filepath.Join(t.TempDir(), "report.html")
	if err := r.WriteHTML(path); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(data, []byte("<svg")) || !bytes.Contains(data, []byte(string(bench.PolicyGroups))) {
		t.Error("the report lacks its plot or its measures")
	}
}
