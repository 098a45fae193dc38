package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Fault is an invalid, missing or unknown key of a settings file.
type Fault struct {
	// Line is the key's line, or zero if the key is missing.
	Line    int
	Section string
	Key     string
	Value   string
	// Allowed describes valid values.
	Allowed string
}

// String formats the fault for operators.
func (f Fault) String() string {
	where := "missing"
	if f.Line > 0 {
		where = fmt.Sprintf("line %d", f.Line)
	}
	return fmt.Sprintf("%s: [%s] %s = %q: %s", where, f.Section, f.Key, f.Value, f.Allowed)
}

// ErrFaults is matched by every FaultsError.
var ErrFaults = errors.New("settings have faults")

// FaultsError lists all faults of a settings file. It wraps ErrFaults.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error lists the faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%s: %d faults", e.File, len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrFaults.
func (e *FaultsError) Unwrap() error { return ErrFaults }

// reader reads values from a parsed file and collects all faults. After a fault it returns an unusable value and continues, so that one run
// reports every fault.
type reader struct {
	file *ini.File
	// digest identifies the file's content.
	digest   string
	lines    map[string]int
	expected map[string]bool
	faults   []Fault
}

func newReader(data []byte) (*reader, error) {
	file, err := ini.LoadSources(ini.LoadOptions{Insensitive: false, IgnoreInlineComment: true}, data)
	if err != nil {
		return nil, fmt.Errorf("parse settings: %w", err)
	}
	return &reader{file: file, digest: digest(data), lines: lineNumbers(data), expected: make(map[string]bool)}, nil
}

// digestBytes is the length of a digest, enough to tell the files of one deployment apart.
const digestBytes = 6

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:digestBytes])
}

func readFile(path string) (*reader, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return newReader(data)
}

// lineNumbers maps "section/key" to its line number, which the INI library doesn't provide.
func lineNumbers(data []byte) map[string]int {
	lines := make(map[string]int)
	section := ini.DefaultSection
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = line[1 : len(line)-1]
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			lines[section+"/"+strings.TrimSpace(key)] = i + 1
		}
	}
	return lines
}

func (r *reader) addFault(section, key, value, allowed string) {
	r.faults = append(r.faults, Fault{Line: r.lines[section+"/"+key], Section: section, Key: key, Value: value, Allowed: allowed})
}

// lookup returns a key's value and reports whether the file has the key. It also records the key as known to the program.
func (r *reader) lookup(section, key string) (string, bool) {
	r.expected[section+"/"+key] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.Key(key).Value()), true
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,63}$`)

func (r *reader) name(section, key string) string {
	v, _ := r.lookup(section, key)
	if !namePattern.MatchString(v) {
		r.addFault(section, key, v, "must be 1 to 64 characters of a-z, 0-9, . and -")
	}
	return v
}

func (r *reader) address(section, key string) string {
	v, _ := r.lookup(section, key)
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.addFault(section, key, v, "must be an IP address and a port, such as 127.0.0.1:8000")
	}
	return v
}

func (r *reader) integer(section, key string, minValue, maxValue, defaultValue int) int {
	v, ok := r.lookup(section, key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < minValue || n > maxValue {
		r.addFault(section, key, v, fmt.Sprintf("must be an integer from %d to %d", minValue, maxValue))
	}
	return n
}

func (r *reader) duration(section, key string, minValue, maxValue, defaultValue time.Duration) time.Duration {
	v, ok := r.lookup(section, key)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < minValue || d > maxValue {
		r.addFault(section, key, v, fmt.Sprintf("must be a duration from %s to %s, such as 250ms", minValue, maxValue))
	}
	return d
}

func (r *reader) choice(section, key string, choices ...string) string {
	v, ok := r.lookup(section, key)
	if !ok {
		return choices[0]
	}
	for _, c := range choices {
		if v == c {
			return v
		}
	}
	r.addFault(section, key, v, "must be one of "+strings.Join(choices, ", "))
	return v
}

func (r *reader) secret(section, key string, minLength int) string {
	v, _ := r.lookup(section, key)
	if len(v) < minLength {
		r.addFault(section, key, strings.Repeat("*", len(v)), fmt.Sprintf("must have at least %d characters", minLength))
	}
	return v
}

func (r *reader) list(section, key string) []string {
	v, _ := r.lookup(section, key)
	var items []string
	for _, item := range strings.Split(v, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// result adds a fault for each key of the file that was never looked up, and returns all faults sorted by line, or nil.
func (r *reader) result(path string) error {
	for _, s := range r.file.Sections() {
		for _, k := range s.Keys() {
			if !r.expected[s.Name()+"/"+k.Name()] {
				r.addFault(s.Name(), k.Name(), k.Value(), "is not a known key")
			}
		}
	}
	if len(r.faults) == 0 {
		return nil
	}
	sort.SliceStable(r.faults, func(i, j int) bool { return r.faults[i].Line < r.faults[j].Line })
	return &FaultsError{File: path, Faults: r.faults}
}
