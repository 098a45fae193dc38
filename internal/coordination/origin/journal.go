package origin

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// slotTime is the time whose streams one page of a journal holds, and slots is the number of pages, which are written in turn: enough that a
	// page is kept for longer than a stream lasts.
	slotTime = 2 * time.Second
	slots    = 32
	// entryBytes is the size of a stream in a page: its hash and the index of its version.
	entryBytes = 9
	// maxPageEntries bounds a page to a third of what the store takes for a value, and maxPageVersions is what an index can name.
	maxPageEntries = 32000
	// maxEnded is how many pages wait while the store can't be reached.
	maxEnded        = 8
	maxPageVersions = 127
	// placedBit is set in the index of a stream that was placed and isn't known to have begun.
	placedBit = 0x80
)

// ErrPage is returned for a page that can't be decoded.
var ErrPage = errors.New("invalid page of streams")

// page is the stored form of a page.
type page struct {
	// At is the start of the page's slot, in Unix milliseconds.
	At       int64       `msgpack:"at"`
	Versions [][2]string `msgpack:"versions"`
	Streams  []byte      `msgpack:"streams"`
}

// Journal collects the streams that begin while several versions are in service into pages for the store, each of which is small and rewritten
// only during its slot.
type Journal struct {
	current page
	changed bool
	// ended holds the pages of earlier slots that have yet to be written.
	ended []page
	// startAt is the first slot that may be written: an earlier writer may have written the one before.
	startAt int64
}

// slotStart returns the start of the slot of a time, in Unix milliseconds.
func slotStart(wall time.Time) int64 {
	return wall.UnixMilli() / slotTime.Milliseconds() * slotTime.Milliseconds()
}

// Restart drops what was collected, and begins with the next slot.
func (j *Journal) Restart(wall time.Time) {
	*j = Journal{startAt: slotStart(wall) + slotTime.Milliseconds()}
}

// Add adds a stream that began, or was placed, at a version of a service. One for which the page has no room is left out.
func (j *Journal) Add(wall time.Time, stream uint64, o Origin) {
	if at := max(slotStart(wall), j.startAt); at != j.current.At {
		if j.changed && len(j.ended) < maxEnded {
			j.ended = append(j.ended, j.current)
		}
		j.current = page{At: at}
	}
	version := [2]string{o.Service, o.Software}
	index := slices.Index(j.current.Versions, version)
	if index < 0 && len(j.current.Versions) < maxPageVersions {
		index = len(j.current.Versions)
		j.current.Versions = append(j.current.Versions, version)
	}
	if index < 0 || len(j.current.Streams) >= maxPageEntries*entryBytes {
		return
	}
	if o.Placed {
		index |= placedBit
	}
	j.current.Streams = append(binary.BigEndian.AppendUint64(j.current.Streams, stream), byte(index))
	j.changed = true
}

// Due returns the name and the content of the page to write, or false if nothing was added since it was last returned.
func (j *Journal) Due() (name string, data []byte, due bool, err error) {
	p := &j.current
	switch {
	case len(j.ended) > 0:
		p, j.ended = &j.ended[0], j.ended[1:]
	case !j.changed:
		return "", nil, false, nil
	default:
		j.changed = false
	}
	data, err = msgpack.Marshal(p)
	if err != nil {
		return "", nil, false, fmt.Errorf("encode page of streams: %w", err)
	}
	return fmt.Sprintf("%02d", p.At/slotTime.Milliseconds()%slots), data, true, nil
}

// ReadPage decodes a page, and returns its streams unless they are older than a time. The error is ErrPage.
func ReadPage(data []byte, wall time.Time, within time.Duration) (map[uint64]Origin, error) {
	var p page
	if err := msgpack.Unmarshal(data, &p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPage, err)
	}
	if wall.UnixMilli()-p.At > (within + slotTime).Milliseconds() {
		return nil, nil
	}
	if len(p.Streams)%entryBytes != 0 {
		return nil, fmt.Errorf("%d bytes: %w", len(p.Streams), ErrPage)
	}
	streams := make(map[uint64]Origin, len(p.Streams)/entryBytes)
	for entry := range slices.Chunk(p.Streams, entryBytes) {
		index, placed := int(entry[entryBytes-1]&^placedBit), entry[entryBytes-1]&placedBit != 0
		if index >= len(p.Versions) {
			return nil, fmt.Errorf("version %d of %d: %w", index, len(p.Versions), ErrPage)
		}
		stream, read := binary.BigEndian.Uint64(entry), Origin{Service: p.Versions[index][0], Software: p.Versions[index][1], Placed: placed}
		if held, ok := streams[stream]; ok {
			read = held.merge(read)
		}
		streams[stream] = read
	}
	return streams, nil
}
