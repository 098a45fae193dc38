package metric

import "github.com/prometheus/client_golang/prometheus"

// Hosted holds the metrics of an entry instance with the hosted edge.
type Hosted struct {
	Registry *prometheus.Registry

	Requests      *prometheus.CounterVec
	Latency       *prometheus.HistogramVec
	FirstEvent    *prometheus.HistogramVec
	Attempts      *prometheus.CounterVec
	PromptTokens  *prometheus.CounterVec
	Placements    *prometheus.CounterVec
	TakeUps       *prometheus.CounterVec
	StoreCalls    *prometheus.CounterVec
	Orders        *prometheus.CounterVec
	Dials         prometheus.Counter
	TableVersion  prometheus.Gauge
	TableAge      prometheus.GaugeFunc
	Endpoints     *prometheus.GaugeVec
	Barred        *prometheus.GaugeVec
	Cold          *prometheus.GaugeVec
	Limited       *prometheus.GaugeVec
	ColdDeferred  *prometheus.CounterVec
	InFlight      prometheus.Gauge
	PlacementAge  prometheus.Gauge
	DispatchDelay prometheus.Gauge
	PredictedGap  *prometheus.GaugeVec
	Settings      *prometheus.GaugeVec
	Held          *prometheus.GaugeVec
	Connections   prometheus.Gauge
	Intake        *prometheus.CounterVec
	Brittle       prometheus.Gauge
	Isolated      prometheus.Gauge
	Forwarded     *prometheus.CounterVec
	Reloads       *prometheus.CounterVec

	Evacuated             *prometheus.GaugeVec
	EvacuatedRunning      *prometheus.GaugeVec
	EvacuationWithdrawals prometheus.Counter
}

// SetSettings records the digests of the settings file in force on an instance and of its bounds.
func (s *Hosted) SetSettings(instance, digest, bounds string) {
	s.Settings.Reset()
	s.Settings.WithLabelValues(instance, digest, bounds).Set(1)
}

// NewHosted creates and registers the metrics. age returns the seconds since the configuration was last confirmed.
func NewHosted(age func() float64) *Hosted {
	s := &Hosted{
		Registry:     prometheus.NewRegistry(),
		Requests:     newCounterVec("requests_total", "Requests by kind of route and result.", "kind", "result"),
		Latency:      newHistogramVec("request_seconds", "Time from arrival to the end of the answer.", "kind"),
		FirstEvent:   newHistogramVec("first_event_seconds", "Time from arrival to the first bytes of the answer.", "kind"),
		Attempts:     newCounterVec("attempts_total", "Attempts at endpoints by outcome.", "outcome"),
		PromptTokens: newCounterVec("prompt_tokens_total", "Prompt tokens by where they were expected: cached, fetched, read.", "way"),
		Placements:   newCounterVec("placements_total", "Placements by who decided: owner, peer, alone.", "by"),
		TakeUps: newCounterVec("take_ups_total", "Streams that callers took up, by how it was known at which software version they began, and result.",
			"origin", "result"),
		StoreCalls:    newCounterVec("store_calls_total", "Calls to the platform's store by purpose and result.", "purpose", "result"),
		Orders:        newCounterVec("weight_orders_total", "Weight orders by result.", "result"),
		Dials:         prometheus.NewCounter(counterOpts("dials_total", "New connections to endpoints.")),
		TableVersion:  prometheus.NewGauge(gaugeOpts("table_version", "Version of the configuration in force.")),
		TableAge:      prometheus.NewGaugeFunc(gaugeOpts("table_age_seconds", "Time since the configuration was confirmed."), age),
		Endpoints:     prometheus.NewGaugeVec(gaugeOpts("endpoints", "Endpoints that may get new requests, by service."), []string{"service"}),
		Barred:        prometheus.NewGaugeVec(gaugeOpts("endpoints_barred", "Endpoints that get no requests, by what they said: leaving, paused."), []string{"reason"}),
		Cold:          prometheus.NewGaugeVec(gaugeOpts("endpoints_cold", "Endpoints that are cold or may be, by service."), []string{"service"}),
		Limited:       prometheus.NewGaugeVec(gaugeOpts("endpoints_limited", "Endpoints that have named a limit, by service."), []string{"service"}),
		ColdDeferred:  newCounterVec("cold_deferred_requests_total", "Requests that were queued or placed elsewhere since a cold endpoint was left out.", "service"),
		InFlight:      prometheus.NewGauge(gaugeOpts("requests_in_flight", "Requests that this instance holds.")),
		PlacementAge:  prometheus.NewGauge(gaugeOpts("placement_age_seconds", "Time since this instance last processed its queue of requests to place.")),
		DispatchDelay: prometheus.NewGauge(gaugeOpts("dispatch_delay_seconds", "Mean time that arrived data waits until this process reads it.")),
		PredictedGap:  prometheus.NewGaugeVec(gaugeOpts("predicted_gap_seconds", "Longest predicted gap between events at any engine."), []string{"service"}),
		Settings: prometheus.NewGaugeVec(gaugeOpts("settings_info", "One for the settings file in force, by its digest and that of its bounds."),
			[]string{"instance", "digest", "bounds"}),
		Held:        prometheus.NewGaugeVec(gaugeOpts("held_bytes", "Bytes held for callers by use: headers, bodies, responses, streams, frames."), []string{"use"}),
		Connections: prometheus.NewGauge(gaugeOpts("caller_connections", "Open connections of callers.")),
		Intake:      newIntakeCounter(),
		Brittle:     prometheus.NewGauge(gaugeOpts("endpoints_brittle", "Endpoints that fall over if they have to reject too many requests.")),
		Isolated:    prometheus.NewGauge(gaugeOpts("isolated", "1 while no endpoint can be reached, so that requests are handed over to peers.")),
		Forwarded:   newCounterVec("forwarded_total", "Requests handed over to peers by result.", "result"),
		Reloads:     newCounterVec("settings_reloads_total", "Changed settings files by result: applied, invalid, needs_restart.", "result"),

		Evacuated:        prometheus.NewGaugeVec(gaugeOpts("zone_evacuated_seconds", "Time since a zone is known to be evacuated."), []string{"zone"}),
		EvacuatedRunning: prometheus.NewGaugeVec(gaugeOpts("zone_running_requests", "Requests of this instance at endpoints of evacuated zones."), []string{"zone"}),
		EvacuationWithdrawals: prometheus.NewCounter(
			counterOpts("evacuation_withdrawals_total", "Placements given up before the request was sent, since the endpoint's zone is evacuated.")),
	}
	s.Registry.MustRegister(s.Requests, s.Latency, s.FirstEvent, s.Attempts, s.PromptTokens, s.Placements, s.TakeUps, s.StoreCalls, s.Orders, s.Dials,
		s.TableVersion, s.TableAge, s.Endpoints, s.Barred, s.Cold, s.Limited, s.ColdDeferred, s.InFlight, s.PlacementAge, s.DispatchDelay, s.PredictedGap,
		s.Settings, s.Reloads,
		s.Evacuated, s.EvacuatedRunning, s.EvacuationWithdrawals, s.Held, s.Connections, s.Intake,
		s.Brittle, s.Isolated, s.Forwarded)
	return s
}
