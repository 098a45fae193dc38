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

// Version is the protocol version. A connection from a peer with another version is refused.
const Version = 2

// MaxFrameBytes is the largest encoded frame, without its length prefix.
const MaxFrameBytes = 4 << 20

// MaxHelloBytes is the largest frame that is read from a peer before it has proved that it knows the shared secret.
const MaxHelloBytes = 4 << 10

// LengthBytes is the length of the prefix of an encoded frame.
const LengthBytes = 4

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
	KindCatchUp
	KindPartsCleared
	KindSuccessor
	KindHandOver
	KindEndpointNotice
	KindRunning
	KindCrashRetraction
	KindStreamOrigins
	KindFindOrigin
	KindSlice
)

var kindNames = [...]string{
	KindReply: "reply", KindHeartbeat: "beat", KindGrantRequest: "ask", KindWithdraw: "withdraw", KindGrantDone: "done",
	KindGrantProgress: "progress", KindClaim: "claim", KindClaimStatus: "inquire", KindConfig: "pull", KindRevision: "revision",
	KindRegisterStream: "register", KindFindStream: "find", KindCrashReport: "suspect", KindLink: "link", KindExport: "export",
	KindInstanceList: "roster", KindMemberRequest: "want",
	KindPlace: "place", KindAssignmentUpdate: "use", KindAwaitPlacement: "await", KindSync: "sync", KindCatchUp: "catchup",
	KindPartsCleared: "cleared", KindSuccessor: "successor", KindHandOver: "handover", KindEndpointNotice: "notice",
	KindRunning:         "running",
	KindCrashRetraction: "retract", KindStreamOrigins: "origins", KindFindOrigin: "findorigin",
	KindSlice: "slice",
}

// String returns the label used in metrics, or "unknown".
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}

// Frame is one message. A reply carries the Call number of the request that it answers.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"`
	Kind     Kind
	Call     uint64
	Err      string
	Body     msgpack.RawMessage
}

// Errors of framing and of the handshake, matched with errors.Is.
var (
	// ErrFrame is returned for bytes that are not a valid frame.
	ErrFrame = errors.New("malformed frame")
	// ErrHello is returned when a peer has another protocol version or did not prove that it knows the shared secret.
	ErrHello = errors.New("peer refused")
)

// Append appends an encoded frame to the buffer and returns the extended buffer.
func Append(buf []byte, f *Frame) ([]byte, error) {
	data, err := msgpack.Marshal(f)
	if err != nil {
		return buf, fmt.Errorf("encode frame: %w", err)
	}
	if len(data) > MaxFrameBytes {
		return buf, fmt.Errorf("encode frame: %d bytes exceed MaxFrameBytes: %w", len(data), ErrFrame)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(data)))
	return append(buf, data...), nil
}

// Read reads one frame of up to limit bytes. It returns io.EOF if the stream ends between two frames, io.ErrUnexpectedEOF if it ends
// within one, and ErrFrame for a malformed frame.
func Read(r io.Reader, limit int) (*Frame, error) {
	var length [LengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, fmt.Errorf("read frame length: %w", err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n == 0 || uint64(n) > uint64(limit) {
		return nil, fmt.Errorf("frame length of %d bytes: %w", n, ErrFrame)
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

// Hello is a handshake message. Each side sends a challenge first, then the proof that answers the other side's challenge.
type Hello struct {
	Version     int
	Name        string
	Incarnation string
	Challenge   []byte
	Proof       []byte
	// Slices is true if the sender reads frames that are sent in slices; releases before the field don't.
	Slices bool `msgpack:",omitempty"`
	// Connection is the receiving process's number of the connection, or zero for one that it has dialled itself. It isn't sent.
	Connection uint64 `msgpack:"-"`
}

// ChallengeBytes is the length of a handshake challenge.
const ChallengeBytes = 16

// Prove returns the HMAC over a challenge, a name and an incarnation, by which the sender of a hello proves that it knows the secret.
func Prove(secret, challenge []byte, name, incarnation string) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, field := range [][]byte{challenge, []byte(name), []byte(incarnation)} {
		// Write on a hash never returns an error.
		_, _ = fmt.Fprintf(mac, "%d:%s", len(field), field)
	}
	return mac.Sum(nil)
}

// CheckProof returns ErrHello unless the hello has this protocol version and a proof that answers the challenge.
func CheckProof(secret, challenge []byte, h *Hello) error {
	if h.Version != Version {
		return fmt.Errorf("protocol version is %d, want %d: %w", h.Version, Version, ErrHello)
	}
	if !hmac.Equal(h.Proof, Prove(secret, challenge, h.Name, h.Incarnation)) {
		return fmt.Errorf("proof of %.40q does not match the challenge: %w", h.Name, ErrHello)
	}
	return nil
}
