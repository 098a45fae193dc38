package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Version is the version of the protocol; a peer with another one is turned away.
const Version = 2

// MaxFrameBytes is the largest frame.
const MaxFrameBytes = 4 << 20

// MaxHelloBytes is the largest frame before a peer has proved that it has the secret.
const MaxHelloBytes = 4 << 10

const lengthBytes = 4

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	KindReply Kind = iota + 1
	KindHeartbeat
	KindGrantRequest
	KindWithdraw
	KindGrantDone
	KindGrantProgress
	KindClaim
	KindClaimStatus
	KindConfig
	KindRevision
	KindRegisterStream
	KindFindStream
	KindCrashReport
	KindLink
	KindExport
	KindInstanceList
	KindMemberRequest
	KindPlace
	KindAssignmentUpdate
	KindAwaitPlacement
	KindSync
)

var kindNames = [...]string{
	KindReply: "reply", KindHeartbeat: "beat", KindGrantRequest: "ask", KindWithdraw: "withdraw", KindGrantDone: "done",
	KindGrantProgress: "progress", KindClaim: "claim", KindClaimStatus: "inquire", KindConfig: "pull", KindRevision: "revision",
	KindRegisterStream: "register", KindFindStream: "find", KindCrashReport: "suspect", KindLink: "link", KindExport: "export",
	KindInstanceList: "roster", KindMemberRequest: "want",
	KindPlace: "place", KindAssignmentUpdate: "use", KindAwaitPlacement: "await", KindSync: "sync",
}

// String returns the label used in metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}

// Frame is one message; a reply carries the number of its call.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"`
	Kind     Kind
	Call     uint64
	Err      string
	Body     msgpack.RawMessage
}

// Errors of frames, matched with errors.Is.
var (
	// ErrFrame says that bytes are not a frame.
	ErrFrame = errors.New("malformed frame")
	// ErrHello says that a peer did not prove that it has the secret.
	ErrHello = errors.New("peer refused")
)

// Append encodes a frame after what the buffer holds.
func Append(buf []byte, f *Frame) ([]byte, error) {
	data, err := msgpack.Marshal(f)
	if err != nil {
		return buf, fmt.Errorf("encode frame: %w", err)
	}
	if len(data) > MaxFrameBytes {
		return buf, fmt.Errorf("encode frame of %d bytes: %w", len(data), ErrFrame)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(data)))
	return append(buf, data...), nil
}

// Read reads one frame of up to limit bytes; it returns io.EOF at a clean end and ErrFrame for anything malformed.
func Read(r io.Reader, limit int) (*Frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, fmt.Errorf("read length: %w", err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n == 0 || uint64(n) > uint64(limit) {
		return nil, fmt.Errorf("length of %d bytes: %w", n, ErrFrame)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	f := &Frame{}
	if err := msgpack.Unmarshal(data, f); err != nil {
		return nil, fmt.Errorf("decode frame (%v): %w", err, ErrFrame)
	}
	return f, nil
}

// Hello opens a connection: each side sends a challenge, then the proof for the other's.
type Hello struct {
	Version     int
	Name        string
	Incarnation string
	Challenge   []byte
	Proof       []byte
}

// ChallengeBytes is the length of a challenge.
const ChallengeBytes = 16

// Prove returns the proof that the sender of a hello has the secret.
func Prove(secret, challenge []byte, name, incarnation string) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, field := range [][]byte{challenge, []byte(name), []byte(incarnation)} {
		// A hash never returns an error.
		_, _ = fmt.Fprintf(mac, "%d:%s", len(field), field)
	}
	return mac.Sum(nil)
}

// CheckProof returns ErrHello unless a peer's proof answers the challenge.
func CheckProof(secret, challenge []byte, h *Hello) error {
	if h.Version != Version {
		return fmt.Errorf("version %d instead of %d: %w", h.Version, Version, ErrHello)
	}
	if !hmac.Equal(h.Proof, Prove(secret, challenge, h.Name, h.Incarnation)) {
		return fmt.Errorf("proof of %.40q: %w", h.Name, ErrHello)
	}
	return nil
}
