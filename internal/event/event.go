package event

import (
	"fmt"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Number identifies a kind of event, documented in docs/events.md.
type Number int

// Numbers of events. A number is never reused for another event.
const (
	EntryStarted         Number = 100
	EntryReady           Number = 101
	EntryStopping        Number = 102
	EntryStopped         Number = 103
	ListenerFailed       Number = 104
	PeerRefused          Number = 200
	PeerClosed           Number = 201
	MemberJoined         Number = 202
	MemberLost           Number = 203
	ProcessPaused        Number = 204
	LargeFrameSent       Number = 205
	RevisionAdopted      Number = 300
	RevisionFailed       Number = 301
	TicketDecided        Number = 302
	WatchFailed          Number = 303
	ListFailed           Number = 304
	EndpointLeaving      Number = 400
	EndpointDown         Number = 401
	EndpointUp           Number = 402
	AttemptFailed        Number = 403
	EndpointCrashed      Number = 404
	RequestBlocked       Number = 405
	PartSuspected        Number = 406
	PartCleared          Number = 407
	PartBlocked          Number = 408
	CrashRetracted       Number = 409
	ClaimFailed          Number = 500
	OutcomeUnknown       Number = 501
	PagesDeleted         Number = 502
	StoreReset           Number = 600
	BlocksFreed          Number = 601
	LeaseTaken           Number = 700
	OrderSent            Number = 701
	OrderFailed          Number = 702
	RequestRefused       Number = 800
	RequestFailed        Number = 801
	AdministratorRefused Number = 802

	InstanceReady           Number = 105
	InstanceNotReady        Number = 106
	SettingsRechecked       Number = 107
	LogLinesDropped         Number = 108
	InstanceBehind          Number = 109
	IntakeLimited           Number = 110
	MemoryHigh              Number = 111
	TableAdopted            Number = 310
	TableInvalid            Number = 311
	StoreUnreachable        Number = 312
	StoreReachable          Number = 313
	TableUnconfirmed        Number = 314
	StoreRestored           Number = 315
	ZoneEvacuationChanged   Number = 316
	UpdatesDistributed      Number = 317
	StreamsRead             Number = 318
	ConfirmationLate        Number = 319
	QueryFailed             Number = 320
	DeltaInvalid            Number = 321
	RegistrationChanged     Number = 410
	RegistrationInvalid     Number = 411
	EndpointUnresponsive    Number = 412
	ZoneReachabilityChanged Number = 413
	EndpointLeaves          Number = 414
	EndpointPaused          Number = 415
	EndpointPauseInvalid    Number = 416
	EndpointLimitChanged    Number = 417
	EndpointWarmupChanged   Number = 418
	EndpointsUnreachable    Number = 419
	EndpointBrittleChanged  Number = 420
	WeightsAnnounced        Number = 710
	LeaderChanged           Number = 711
	OrderEnded              Number = 712
	RequestEnded            Number = 810
	AttemptEnded            Number = 811
	RequestRejected         Number = 812
	PlacementOwnerChanged   Number = 813
	PlacementStalled        Number = 814
	RunningReported         Number = 815
	HandlerPanicked         Number = 816
	RelayChanged            Number = 613
	StoreUsageReported      Number = 614
	CacheStreamChanged      Number = 610
	StoreListed             Number = 611
	StorePartsFreed         Number = 612
)

// Log writes numbered events as log lines.
type Log struct {
	zap  *zap.Logger
	sink *sink
}

// New returns a log that writes to standard output without ever blocking its callers. level is debug, info, warn or error; format is json
// or console.
func New(level, format, instance string) (*Log, error) {
	var threshold zapcore.Level
	if err := threshold.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(cfg)
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(cfg)
	}
	s := newSink(os.Stdout)
	core := zapcore.NewCore(encoder, s, threshold)
	return &Log{zap: zap.New(core).With(zap.String("instance", instance)), sink: s}, nil
}

// Discard returns a log that discards all events.
func Discard() *Log { return &Log{zap: zap.NewNop()} }

// Info logs an event of normal operation.
func (l *Log) Info(n Number, text string, fields ...zap.Field) {
	l.zap.Info(text, append(fields, zap.Int("event", int(n)))...)
}

// Warn logs an event that may need an operator's attention.
func (l *Log) Warn(n Number, text string, fields ...zap.Field) {
	l.zap.Warn(text, append(fields, zap.Int("event", int(n)))...)
}

// Debug logs an event that is of interest to developers only.
func (l *Log) Debug(n Number, text string, fields ...zap.Field) {
	l.zap.Debug(text, append(fields, zap.Int("event", int(n)))...)
}

// Close writes the queued lines and stops the log. Events logged afterwards are lost.
func (l *Log) Close() {
	if l.sink != nil {
		l.sink.close()
	}
}
