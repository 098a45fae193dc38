package peers

import (
	"bufio"
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/protocol/peer"
)

const (
	handshakeTimeout   = 2 * time.Second
	writeTimeout       = 5 * time.Second
	directWriteTimeout = 100 * time.Millisecond
	bufferBytes        = 32 << 10
	// readBufferBytes holds a few messages about placements; a longer frame is read without the buffer.
	readBufferBytes = 8 << 10
)

// Errors that Call and Send wrap; match them with errors.Is.
var (
	// ErrClosed is returned when the connection closed. The peer may have executed the call.
	ErrClosed = errors.New("peer connection closed")
	// ErrFull is returned when the outbox is full because the peer reads too slowly.
	ErrFull = errors.New("peer outbox full")
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
	closed  chan struct{}
	once    sync.Once
	// cause is why the connection was closed; it may be read once closed is.
	cause    error
	traffic  *Traffic
	observer Observer
}

func newConn(raw net.Conn, r *bufio.Reader, remote peer.Hello, n *Network) *conn {
	c := &conn{
		raw: raw, r: r, remote: remote, outbox: newOutbox(), closed: make(chan struct{}), traffic: &n.Traffic, observer: n.cfg.Observer,
	}
	go c.write()
	return c
}

// close closes the connection for a cause, unless it is closed.
func (c *conn) close(cause error) {
	c.once.Do(func() {
		c.cause = cause
		close(c.closed)
		_ = c.raw.Close()
	})
}

// write sends the frames in the outbox until the connection closes. Queued frames are combined into one system call.
func (c *conn) write() {
	for {
		select {
		case <-c.closed:
			return
		case <-c.outbox.waiting:
			if err := c.writeQueued(); err != nil {
				c.close(err)
				return
			}
		}
	}
}

// writeQueued sends the frames that are in the outbox.
func (c *conn) writeQueued() error {
	for data := c.outbox.pop(); data != nil; data = c.outbox.pop() {
		c.writeMu.Lock()
		err := c.flush(data, writeTimeout)
		c.writeMu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// flush writes a frame together with queued frames, up to about bufferBytes. The caller holds writeMu.
func (c *conn) flush(data []byte, timeout time.Duration) error {
	for len(data) < bufferBytes {
		more := c.outbox.pop()
		if more == nil {
			break
		}
		data = append(data, more...)
	}
	if err := c.raw.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	n, err := c.raw.Write(data)
	c.traffic.BytesOut.Add(int64(n))
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// send writes a frame directly if no other goroutine is writing, which saves a goroutine switch. Otherwise it queues the frame in the
// outbox.
//
// If a direct write fails or takes longer than directWriteTimeout, because the peer has stopped reading, the connection is closed.
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
	if c.writeMu.TryLock() {
		defer c.writeMu.Unlock()
		started := time.Now()
		err := c.flush(data, directWriteTimeout)
		if len(data) >= MinReportedFrame {
			c.observer.FrameSent(FrameReport{Peer: c.remote.Name, Kind: f.Kind, Bytes: len(data), Took: time.Since(started), Err: err})
		}
		if err != nil {
			c.close(err)
			return fmt.Errorf("send to %s (%v): %w", c.remote.Name, err, ErrClosed)
		}
		return nil
	}
	if !c.outbox.push(data) {
		return fmt.Errorf("send to %s: %w", c.remote.Name, ErrFull)
	}
	return nil
}

func (c *conn) read(limit int) (*peer.Frame, error) {
	f, err := peer.Read(c.r, limit)
	if err != nil {
		return nil, fmt.Errorf("read from %s: %w", c.remote.Name, err)
	}
	c.traffic.FramesIn.Add(1)
	c.traffic.BytesIn.Add(int64(len(f.Body)) + frameOverheadBytes)
	return f, nil
}

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
	mine := peer.Hello{Version: peer.Version, Name: id.name, Incarnation: id.incarnation, Challenge: make([]byte, peer.ChallengeBytes)}
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
