package metric

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Set holds the metrics of an entry instance with the native edge. Labels must have few values, as class, code and pool have:
// never use a workspace as a label.
type Set struct {
	Registry *prometheus.Registry

	Requests        *prometheus.CounterVec
	FirstToken      *prometheus.HistogramVec
	InterToken      prometheus.Histogram
	GrantWait       *prometheus.HistogramVec
	ServiceTime     *prometheus.HistogramVec
	ContextTokens   *prometheus.CounterVec
	Attempts        *prometheus.CounterVec
	Hedges          *prometheus.CounterVec
	DroppedChunks   *prometheus.CounterVec
	Claims          *prometheus.CounterVec
	LinkBytes       prometheus.Counter
	LinkRefused     prometheus.Counter
	ConfigRevision  prometheus.Gauge
	Members         prometheus.Gauge
	InFlight        prometheus.Gauge
	ControlMessages *prometheus.CounterVec
	PlatformDown    prometheus.Gauge
	Intake          *prometheus.CounterVec
}

// PublishGauge registers a gauge whose value is read when the metrics are.
func (s *Set) PublishGauge(name, help string, labels map[string]string, value func() float64) {
	opts := gaugeOpts(name, help)
	opts.ConstLabels = labels
	s.Registry.MustRegister(prometheus.NewGaugeFunc(opts, value))
}

var (
	latencyBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 1.6, 2.5, 5, 10, 30}
	namespace      = "gypsum"
)

// New creates and registers the metrics.
func New() *Set {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s := &Set{
		Registry:        r,
		Requests:        newCounterVec("requests_total", "Requests by kind and code of the answer.", "kind", "code"),
		FirstToken:      newHistogramVec("first_token_seconds", "Time from a prompt's arrival to its first token.", "class"),
		InterToken:      prometheus.NewHistogram(histogramOpts("inter_token_seconds", "Time between tokens as sent to callers.")),
		GrantWait:       newHistogramVec("grant_wait_seconds", "Time that work waited for an endpoint.", "class"),
		ServiceTime:     newHistogramVec("service_call_seconds", "Time of calls to plain services, waiting included.", "repeatable"),
		ContextTokens:   newCounterVec("context_tokens_total", "Context tokens by how they came back: reused, fetched, recomputed.", "way"),
		Attempts:        newCounterVec("attempts_total", "Attempts at endpoints by result.", "result"),
		Hedges:          newCounterVec("hedges_total", "Second attempts of slow repeatable calls, by winner.", "winner"),
		DroppedChunks:   newCounterVec("dropped_chunks_total", "Chunks that were not the next of their answer, by reason.", "reason"),
		Claims:          newCounterVec("claims_total", "Claims of non-idempotent requests by decision.", "decision"),
		LinkBytes:       prometheus.NewCounter(counterOpts("link_granted_bytes_total", "Bytes granted on the links that this instance owns.")),
		LinkRefused:     prometheus.NewCounter(counterOpts("link_refused_total", "Fetches refused since recomputing was as fast.")),
		ConfigRevision:  prometheus.NewGauge(gaugeOpts("config_revision", "Revision of the configuration in force.")),
		Members:         prometheus.NewGauge(gaugeOpts("members", "Entry instances taken to be live.")),
		InFlight:        prometheus.NewGauge(gaugeOpts("requests_in_flight", "Requests that this instance holds.")),
		ControlMessages: newCounterVec("control_messages_total", "Messages from peers by kind.", "kind"),
		PlatformDown:    prometheus.NewGauge(gaugeOpts("platform_down", "One while calls to the key-value service are held back.")),
		Intake:          newIntakeCounter(),
	}
	r.MustRegister(s.Requests, s.FirstToken, s.InterToken, s.GrantWait, s.ServiceTime, s.ContextTokens, s.Attempts,
		s.Hedges, s.DroppedChunks, s.Claims, s.LinkBytes, s.LinkRefused, s.ConfigRevision, s.Members, s.InFlight,
		s.ControlMessages, s.PlatformDown, s.Intake)
	return s
}

func counterOpts(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
}

func gaugeOpts(name, help string) prometheus.GaugeOpts {
	return prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
}

func histogramOpts(name, help string) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(counterOpts(name, help), labels)
}

func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(histogramOpts(name, help), labels)
}

func newIntakeCounter() *prometheus.CounterVec {
	return newCounterVec("intake_closed_total",
		"Connections closed and requests refused to stay within limits: connections, not_accepted, headers, bodies.", "reason")
}
