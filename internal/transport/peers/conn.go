package peers

import (
	"bufio"
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/coordination/transfer"
	"gypsumvale/internal/protocol/peer"
)

const (
	handshakeTimeout = 2 * time.Second
	// sliceTimeout is allowed for writing up to bufferBytes. A peer that reads slowly keeps its connection, and one that has stopped loses it.
	sliceTimeout = 5 * time.Second
	// directTimeout is for how long a sender waits for a full link before it leaves the rest to the connection's own goroutine.
	directTimeout = 10 * time.Millisecond
	bufferBytes   = 32 << 10
	// readBufferBytes holds a few messages about placements; a longer frame is read without the buffer.
	readBufferBytes = 8 << 10
)

// Errors that Call and Send wrap; match them with errors.Is.
var (
	// ErrClosed is returned when the connection closed. The peer may have executed the call.
	ErrClosed = errors.New("peer connection closed")
	// ErrFull is returned when too much waits for the peer because it reads too slowly.
	ErrFull = transfer.ErrFull
	// ErrUnreachable is returned when no connection to the peer could be established. Nothing was sent.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRemote is returned when the peer answered the call with an error.
	ErrRemote = errors.New("peer error")
)

// Traffic counts the bytes and frames of all connections of a Network.
type Traffic struct {
	BytesIn, BytesOut, FramesIn, FramesOut atomic.Int64
}

// conn is an authenticated connection. A goroutine writes the frames in its outbox.
type conn struct {
	raw     net.Conn
	r       *bufio.Reader
	remote  peer.Hello
	outbox  *outbox
	writeMu sync.Mutex
	// unsent is the rest of a frame that was written in part, which goes before everything else. writeMu guards it.
	unsent []byte
	closed chan struct{}
	once   sync.Once
	// cause is why the connection was closed; it may be read once closed is.
	cause    error
	traffic  *Traffic
	observer Observer
	// arriving holds the frames that arrive in slices; countFrame counts their bytes. Only read uses them.
	arriving   transfer.Assembly
	countFrame func(int64)
	// answerProgress is called with the number of a call and the length of each slice of its answer; nil on incoming connections.
	answerProgress func(call uint64, n int)
}

func newConn(raw net.Conn, r *bufio.Reader, remote peer.Hello, n *Network) *conn {
	c := &conn{
		raw: raw, r: r, remote: remote, outbox: newOutbox(), closed: make(chan struct{}), traffic: &n.Traffic, observer: n.cfg.Observer,
		countFrame: n.cfg.CountFrame,
	}
	limitUnsent(raw)
	go c.write()
	return c
}

// close closes the connection for a cause, unless it is closed.
func (c *conn) close(cause error) {
	c.once.Do(func() {
		c.cause = cause
		close(c.closed)
		_ = c.raw.Close()
		c.outbox.drain(cause)
	})
}

// write sends the frames in the outbox until the connection closes.
func (c *conn) write() {
	for {
		select {
		case <-c.closed:
			return
		case <-c.outbox.waiting:
			for more := true; more; {
				var err error
				if more, err = c.writeNext(); err != nil {
					c.close(err)
					return
				}
			}
		}
	}
}

// writeNext writes what is next in the outbox, and reports false if nothing is. Other senders may write directly before the next call.
func (c *conn) writeNext() (more bool, err error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if len(c.unsent) > 0 {
		data := c.unsent
		c.unsent = nil
		return true, c.writeAll(data)
	}
	part, ok := c.outbox.next(bufferBytes)
	if !ok {
		return false, nil
	}
	data := part.Data
	if part.Frame != nil {
		if data, err = encodeSlice(&part); err != nil {
			return false, err
		}
	}
	err = c.writeAll(data)
	for _, f := range part.Completes {
		f.End(err)
	}
	return true, err
}

func encodeSlice(part *transfer.Part) ([]byte, error) {
	f := part.Frame
	body, err := msgpack.Marshal(&peer.Slice{Length: len(f.Data), Compressed: f.Compressed, Answers: f.Answers, Data: part.Data})
	if err != nil {
		return nil, fmt.Errorf("encode slice: %w", err)
	}
	data, err := peer.Append(nil, &peer.Frame{Kind: peer.KindSlice, Call: part.Number, Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode slice: %w", err)
	}
	return data, nil
}

// writeAll writes data in pieces, each of which has its own time-out. The caller holds writeMu.
func (c *conn) writeAll(data []byte) error {
	for len(data) > 0 {
		n, err := c.writeSome(data[:min(len(data), bufferBytes)], sliceTimeout)
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

func (c *conn) writeSome(data []byte, timeout time.Duration) (int, error) {
	if err := c.raw.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, fmt.Errorf("set deadline: %w", err)
	}
	n, err := c.raw.Write(data)
	c.traffic.BytesOut.Add(int64(n))
	if err != nil {
		return n, fmt.Errorf("write: %w", err)
	}
	return n, nil
}

// send sends a frame: a small one directly if nothing else is being written, which saves a goroutine switch, and otherwise through the outbox.
// Errors wrap ErrClosed, ErrFull or peer.ErrFrame.
func (c *conn) send(f *peer.Frame) error {
	data, err := peer.Append(nil, f)
	if err != nil {
		return fmt.Errorf("send to %s: %w", c.remote.Name, err)
	}
	select {
	case <-c.closed:
		return fmt.Errorf("send to %s: %w", c.remote.Name, ErrClosed)
	default:
	}
	c.traffic.FramesOut.Add(1)
	switch {
	case len(data) > transfer.SliceBytes:
		err = c.sendLarge(f, data)
	case c.writeMu.TryLock():
		err = c.sendDirectly(data)
		c.writeMu.Unlock()
	default:
		err = c.outbox.push(&transfer.Frame{Data: data})
	}
	if err != nil {
		return fmt.Errorf("send to %s: %w", c.remote.Name, err)
	}
	return nil
}

// sendDirectly writes a small frame. If the link is full, the goroutine of the connection writes the rest. The caller holds writeMu.
func (c *conn) sendDirectly(data []byte) error {
	if len(c.unsent) > 0 {
		return c.outbox.push(&transfer.Frame{Data: data})
	}
	n, err := c.writeSome(data, directTimeout)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.unsent = data[n:]
		c.outbox.wake()
		return nil
	}
	if err != nil {
		c.close(err)
		return fmt.Errorf("%w (%v)", ErrClosed, err)
	}
	return nil
}

// sendLarge queues a large frame, in slices if the peer reads these.
func (c *conn) sendLarge(f *peer.Frame, data []byte) error {
	large := &transfer.Frame{Data: data}
	if c.remote.Slices {
		large.Data, large.Sliced = data[peer.LengthBytes:], true
		if f.Kind == peer.KindReply {
			large.Answers = f.Call
		}
		if compressed, ok := peer.Compress(large.Data); ok {
			large.Data, large.Compressed = compressed, true
		}
	}
	if len(data) >= MinReportedFrame {
		report := FrameReport{Peer: c.remote.Name, Kind: f.Kind, Bytes: len(data), SentBytes: len(large.Data)}
		started := time.Now()
		large.Ended = func(err error) {
			report.Took, report.Err = time.Since(started), err
			c.observer.FrameSent(report)
		}
	}
	return c.outbox.push(large)
}

// arrival is a frame that has arrived, or the data of one that came in slices and isn't decoded yet.
type arrival struct {
	frame      *peer.Frame
	data       []byte
	compressed bool
	// answers is the number of the call that data answers, or zero.
	answers uint64
}

// decode returns the frame. For one that came in slices, this takes long enough that it isn't done by the goroutine that reads.
func (a *arrival) decode() (*peer.Frame, error) {
	if a.frame != nil {
		return a.frame, nil
	}
	return peer.DecodeSlices(a.data, a.compressed)
}

// read reads until a frame has arrived.
func (c *conn) read(limit int) (*arrival, error) {
	for {
		f, err := peer.Read(c.r, limit)
		if err != nil {
			return nil, fmt.Errorf("read from %s: %w", c.remote.Name, err)
		}
		c.traffic.FramesIn.Add(1)
		c.traffic.BytesIn.Add(int64(len(f.Body)) + frameOverheadBytes)
		if f.Kind != peer.KindSlice {
			return &arrival{frame: f}, nil
		}
		a, err := c.addSlice(f)
		if err != nil {
			return nil, fmt.Errorf("read from %s: %w", c.remote.Name, err)
		}
		if a != nil {
			return a, nil
		}
	}
}

// addSlice adds a slice to its frame, and returns the frame if it is complete.
func (c *conn) addSlice(f *peer.Frame) (*arrival, error) {
	var slice peer.Slice
	if err := msgpack.Unmarshal(f.Body, &slice); err != nil {
		return nil, fmt.Errorf("decode slice (%v): %w", err, peer.ErrFrame)
	}
	if slice.Answers != 0 && c.answerProgress != nil {
		c.answerProgress(slice.Answers, len(slice.Data))
	}
	before := c.arriving.Held()
	data, err := c.arriving.Add(f.Call, slice.Length, peer.MaxFrameBytes, slice.Data)
	c.countFrame(int64(c.arriving.Held() - before))
	if err != nil || data == nil {
		return nil, err
	}
	return &arrival{data: data, compressed: slice.Compressed, answers: slice.Answers}, nil
}

// releaseSlices returns the bytes of frames that won't be completed. It is called after the last read.
func (c *conn) releaseSlices() { c.countFrame(-int64(c.arriving.Held())) }

// frameOverheadBytes is the size of a frame's length, array header, kind and call number.
const frameOverheadBytes = 12

// identity is this process's name and incarnation, and the shared secret that authenticates them.
type identity struct {
	name, incarnation string
	secret            []byte
}

// handshake authenticates both sides: they exchange random challenges, then proofs that they know the shared secret.
func (id *identity) handshake(ctx context.Context, raw net.Conn) (*bufio.Reader, peer.Hello, error) {
	deadline := time.Now().Add(handshakeTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := raw.SetDeadline(deadline); err != nil {
		return nil, peer.Hello{}, fmt.Errorf("set deadline: %w", err)
	}
	mine := peer.Hello{
		Version: peer.Version, Name: id.name, Incarnation: id.incarnation, Challenge: make([]byte, peer.ChallengeBytes), Slices: true,
	}
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(mine.Challenge)
	r := bufio.NewReaderSize(raw, readBufferBytes)
	theirs, err := id.exchangeHello(raw, r, &mine)
	if err != nil {
		return nil, peer.Hello{}, err
	}
	proof := mine
	proof.Proof = peer.Prove(id.secret, theirs.Challenge, id.name, id.incarnation)
	confirmed, err := id.exchangeHello(raw, r, &proof)
	if err != nil {
		return nil, peer.Hello{}, err
	}
	if err := peer.CheckProof(id.secret, mine.Challenge, &confirmed); err != nil {
		return nil, peer.Hello{}, fmt.Errorf("check proof: %w", err)
	}
	if confirmed.Name == id.name {
		// The handshake may have been reflected: this process would authenticate itself.
		return nil, peer.Hello{}, fmt.Errorf("peer has this instance's name: %w", peer.ErrHello)
	}
	return r, confirmed, raw.SetDeadline(time.Time{})
}

func (id *identity) exchangeHello(raw net.Conn, r *bufio.Reader, mine *peer.Hello) (peer.Hello, error) {
	body, err := msgpack.Marshal(mine)
	if err != nil {
		return peer.Hello{}, fmt.Errorf("encode hello: %w", err)
	}
	data, err := peer.Append(nil, &peer.Frame{Body: body})
	if err != nil {
		return peer.Hello{}, fmt.Errorf("encode hello: %w", err)
	}
	if _, err := raw.Write(data); err != nil {
		return peer.Hello{}, fmt.Errorf("send hello: %w", err)
	}
	f, err := peer.Read(r, peer.MaxHelloBytes)
	if err != nil {
		return peer.Hello{}, fmt.Errorf("read hello: %w", err)
	}
	var theirs peer.Hello
	if err := msgpack.Unmarshal(f.Body, &theirs); err != nil {
		return peer.Hello{}, fmt.Errorf("decode hello (%v): %w", err, peer.ErrHello)
	}
	return theirs, nil
}
