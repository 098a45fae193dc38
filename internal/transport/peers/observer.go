package peers

import (
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
)

// Observer is told of what makes calls slow or fail. Its methods must not block.
type Observer interface {
	// FrameSent is called when a frame of at least MinReportedFrame bytes has been written, or can't be.
	FrameSent(FrameReport)
	// ConnectionEnded is called when a connection has closed, with the cause on this side. incoming is true if the peer had dialled it.
	ConnectionEnded(remote peer.Hello, incoming bool, cause error)
}

// MinReportedFrame is the length in bytes from which a frame is reported: those of placements and heartbeats are shorter.
const MinReportedFrame = 64 << 10

// FrameReport says how the sending of a large frame ended.
type FrameReport struct {
	// Peer is the receiver.
	Peer string
	Kind peer.Kind
	// Bytes is the encoded length, and SentBytes the length as it is sent, which is less if it was compressed.
	Bytes, SentBytes int
	// Took is the time from when the frame was to be sent until its last byte was written, or until it failed with Err.
	Took time.Duration
	Err  error
}

// silent is an Observer that does nothing.
type silent struct{}

func (silent) FrameSent(FrameReport)                   {}
func (silent) ConnectionEnded(peer.Hello, bool, error) {}

// logObserver logs what it is told.
type logObserver struct{ log *event.Log }

// NewLogObserver returns an Observer that logs what it is told.
func NewLogObserver(log *event.Log) Observer { return logObserver{log} }

func (o logObserver) FrameSent(r FrameReport) {
	o.log.Info(event.LargeFrameSent, "large frame sent", zap.String("peer", r.Peer), zap.Stringer("kind", r.Kind), zap.Int("bytes", r.Bytes),
		zap.Int("sent_bytes", r.SentBytes), zap.Int64("took_ms", r.Took.Milliseconds()), zap.Error(r.Err))
}

func (o logObserver) ConnectionEnded(remote peer.Hello, incoming bool, cause error) {
	o.log.Info(event.PeerClosed, "connection to peer closed", zap.String("peer", remote.Name), zap.Bool("incoming", incoming), zap.Error(cause))
}
