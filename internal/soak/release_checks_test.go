package soak_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

// logLine holds the fields of an entry's log lines that the checks read.
type logLine struct {
	At      time.Time `json:"ts"`
	Request string    `json:"request"`
	Leader  string    `json:"leader"`
	// Origin is how the version was known that began the stream, or nil if the request wasn't placed, and OriginAge for how long, in milliseconds.
	Origin    *string `json:"origin"`
	OriginAge int64   `json:"origin_age_ms"`
}

// readLog calls yield with each line of an entry's log that contains the text.
func (s *site) readLog(m *node, text string, yield func(logLine)) {
	data, err := os.ReadFile(s.logPath(m.name))
	if err != nil {
		s.breach("open log: %v", err)
		return
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), text) {
			continue
		}
		var line logLine
		// The last line may be incomplete, as its process was killed.
		if json.Unmarshal(lines.Bytes(), &line) == nil {
			yield(line)
		}
	}
}

// leader returns the entry that was logged last as the leader, or the first one.
func (s *site) leader() *node {
	var last logLine
	for _, m := range s.entries {
		s.readLog(m, `"leader changed"`, func(line logLine) {
			if line.Leader != "" && line.At.After(last.At) {
				last = line
			}
		})
	}
	i := slices.IndexFunc(s.entries, func(m *node) bool { return m.name == last.Leader })
	return s.entries[max(i, 0)]
}

// minJudgedTakeUps is how many attempts to take streams up have to count before they must go on at least half as often as new streams begin.
const minJudgedTakeUps = 12

// ratio counts requests that brought an event, of those that count.
type ratio struct{ went, all int }

func (r ratio) share() float64 { return float64(r.went) / float64(max(r.all, 1)) }

func (r *ratio) add(went bool) {
	r.all++
	if went {
		r.went++
	}
}

// releaseSummary counts what became of streams during releases.
type releaseSummary struct {
	began, takenUp  ratio
	refused, joined int
	// bySource counts the attempts to take streams up by how the version was known, and joinedBy those that went on at another one.
	bySource, joinedBy map[string]int
	// calmBegan and calmTaken count at undisturbed entries only.
	calmBegan, calmTaken ratio
}

// source returns the origin in an entry's last line about a request; ok is false if there is no such line.
func (l logLine) source(ok bool) string {
	switch {
	case !ok:
		return "unlogged"
	case l.Origin == nil:
		return "unplaced"
	case *l.Origin == "":
		return "unknown"
	}
	return *l.Origin
}

// checkReleases checks all requests, and summarizes what became of streams.
func (s *site) checkReleases(o *operator) *releaseSummary {
	j := s.readJournal()
	ends := make(map[string]logLine)
	for _, m := range s.entries {
		for _, event := range []string{`"event":810`, `"event":812`} {
			s.readLog(m, event, func(line logLine) { ends[line.Request] = line })
		}
	}
	sum := &releaseSummary{bySource: make(map[string]int), joinedBy: make(map[string]int)}
	byID := make(map[string]*request)
	for _, r := range s.requests() {
		byID[r.id] = r
		s.checkResponse(r, j.runs[r.id])
		s.checkDeadline(r)
		s.countStream(sum, r, j)
		if r.began == nil {
			for _, joined := range s.joinedRuns(r, j) {
				s.breach("%s", joined)
			}
			continue
		}
		line, logged := ends[r.id]
		source := line.source(logged)
		sum.bySource[source]++
		if list := s.joinedRuns(r, j); len(list) > 0 {
			sum.joined++
			sum.joinedBy[source]++
			s.breach("%s, through %s, sent %s, origin %s, age %d ms", list[0], r.entry.name, r.sent.Format(time.RFC3339Nano), source, line.OriginAge)
		}
	}
	for id, runs := range j.runs {
		if r := byID[id]; r == nil {
			s.breach("%s ran, but no caller sent it", id)
		} else {
			s.checkExecutions(o, r, runs)
		}
	}
	if sum.calmTaken.all >= minJudgedTakeUps && sum.calmTaken.share() < sum.calmBegan.share()/2 {
		s.breach("%d of %d take-ups went on at undisturbed entries, but %d of %d new streams began there", sum.calmTaken.went, sum.calmTaken.all,
			sum.calmBegan.went, sum.calmBegan.all)
	}
	return sum
}

// countStream counts a stream that callers may take up, or an attempt to take one up. Callers that left before anything came don't count.
func (s *site) countStream(sum *releaseSummary, r *request, j *journal) {
	went := r.status == http.StatusOK && eventsIn(r.received) > 0
	if !isRedraft(r.path) || r.abandoned && !went {
		return
	}
	calm := s.undisturbed(r.sent.Add(-settleTime), r.finished, machine, r.entry.name, r.entry.name+" callers", r.entry.name+" store", r.entry.name+" peers",
		"zone "+r.entry.zone)
	if r.began == nil {
		sum.began.add(went)
		if calm {
			sum.calmBegan.add(went)
		}
		return
	}
	sum.takenUp.add(went)
	if refused(r.status) {
		sum.refused++
	}
	if calm && s.servingEngines(j, r) >= 2 {
		sum.calmTaken.add(went)
	}
}

// servingEngines returns how many engines of the version that began a stream served, from before it was taken up until the answer had ended.
func (s *site) servingEngines(j *journal, r *request) int {
	software := r.began.software(j)
	n := 0
	for _, m := range s.endpoints {
		records := j.records[m.name]
		if len(records) == 0 || !slices.Contains(m.args, r.service()) || !slices.Contains(m.args, software) {
			continue
		}
		from := r.sent.Add(-settleTime)
		if records[0].At.Before(from) && s.undisturbed(from, r.finished, m.name) && s.undisturbed(r.sent, r.finished, m.name+" endpoint") {
			n++
		}
	}
	return n
}

// service returns the service of a redraft's path.
func (r *request) service() string {
	return "engines-" + strings.TrimSuffix(strings.TrimPrefix(r.path, redraftPath), "/")
}

// reportReleases prints a summary line, and fails the test with the breaches.
func (s *site) reportReleases(seed uint64, faults, releases int, sum *releaseSummary) {
	sources := ""
	for _, source := range slices.Sorted(maps.Keys(sum.bySource)) {
		sources += fmt.Sprintf(" %s %d", source, sum.bySource[source])
		if n := sum.joinedBy[source]; n > 0 {
			sources += fmt.Sprintf(" (%d joined)", n)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf("RELEASES seed %d: %d releases, %d faults; %d of %d streams began; %d taken up, %d went on, %d refused, %d joined; by source:%s; "+
		"at undisturbed entries %d of %d went on, %d of %d began; machine stalled %v; %d breaches\n", seed, releases, faults, sum.began.went, sum.began.all,
		sum.takenUp.all, sum.takenUp.went, sum.refused, sum.joined, sources, sum.calmTaken.went, sum.calmTaken.all, sum.calmBegan.went, sum.calmBegan.all,
		s.stalled().Round(time.Millisecond), len(s.breaches))
	s.reportBreaches(fmt.Sprintf("gypsum-releases-%d", seed))
}
