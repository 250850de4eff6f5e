// Package metrics counts what a gateway does and serves it in the text format of Prometheus.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/primroseladder/primroseladder/internal/dispatch"
)

const namespace = "primrose"

// latencyBuckets are in seconds, around the users' target latencies of 0.6 to 1.5 s.
var latencyBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1, 1.5, 2, 3, 4}

// Metrics are the metrics of one gateway.
type Metrics struct {
	registry         *prometheus.Registry
	requests         *prometheus.CounterVec
	latency          *prometheus.HistogramVec
	attempts         *prometheus.CounterVec
	evidenceSent     prometheus.Counter
	evidenceReceived prometheus.Counter
}

// New returns metrics without values.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by service, outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from arrival to answer.", Buckets: latencyBuckets,
		}, []string{"service", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts at backend servers by outcome.",
		}, []string{"service", "outcome"}),
		evidenceSent: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "evidence_sent_total", Help: "Evidence told to other VMs.",
		}),
		evidenceReceived: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "evidence_heard_total", Help: "Evidence heard from other VMs.",
		}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.attempts, m.evidenceSent, m.evidenceReceived)
	return m
}

// RegisterGauge serves the value of a function.
func (m *Metrics) RegisterGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// RegisterCounter serves the value of a function that only grows.
func (m *Metrics) RegisterCounter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// RecordRequest counts the end of a request.
func (m *Metrics) RecordRequest(service string, r dispatch.Result, took time.Duration) {
	outcome := r.Outcome.String()
	m.requests.WithLabelValues(service, outcome, r.Reason).Inc()
	m.latency.WithLabelValues(service, outcome).Observe(took.Seconds())
}

// RecordSentEvidence counts evidence of this VM's own attempts.
func (m *Metrics) RecordSentEvidence(e dispatch.Evidence) {
	m.evidenceSent.Inc()
	if e.HasOutcome {
		m.attempts.WithLabelValues(e.Service, e.Outcome.String()).Inc()
	}
}

// RecordReceivedEvidence counts evidence of other VMs.
func (m *Metrics) RecordReceivedEvidence(dispatch.Evidence) { m.evidenceReceived.Inc() }

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
