// Package metrics holds the metrics of a gateway and serves them in the Prometheus text format.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/ingress"
)

const namespace = "primrose"

// latencyBuckets are the upper bounds of the latency histogram in seconds. They surround the users' target latencies of
// 0.6 to 1.5 s.
var latencyBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1, 1.5, 2, 3, 4}

// waitBuckets are the upper bounds of the histogram of expected waits in seconds. The first one holds those that find a free slot.
var waitBuckets = []float64{0, 0.05, 0.1, 0.3, 1, 3}

// Metrics are the metrics of one gateway.
type Metrics struct {
	registry         *prometheus.Registry
	requests         *prometheus.CounterVec
	latency          *prometheus.HistogramVec
	expectedWait     *prometheus.HistogramVec
	attempts         *prometheus.CounterVec
	refusedKeys      *prometheus.CounterVec
	retries          *prometheus.CounterVec
	evidenceSent     prometheus.Counter
	evidenceReceived prometheus.Counter
}

// New returns Metrics in their own registry, without values.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by service, outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from arrival to answer.", Buckets: latencyBuckets,
		}, []string{"service", "outcome"}),
		expectedWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "expected_wait_seconds", Buckets: waitBuckets,
			Help: "How long the last attempt of a request was expected to wait for a slot of its backend server.",
		}, []string{"service"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts at backend servers by outcome.",
		}, []string{"service", "outcome"}),
		refusedKeys: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refused_keys_total", Help: "Requests that were refused because of their keys, by reason.",
		}, []string{"reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total",
			Help: "Requests that asked for a retry, by service, priority and whether they got one.",
		}, []string{"service", "priority", "result"}),
		evidenceSent: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "evidence_sent_total", Help: "Evidence sent to other VMs.",
		}),
		evidenceReceived: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "evidence_heard_total", Help: "Evidence received from other VMs.",
		}),
	}
	m.registry.MustRegister(
		m.requests, m.latency, m.expectedWait, m.attempts, m.refusedKeys, m.retries, m.evidenceSent, m.evidenceReceived,
	)
	return m
}

// RegisterGauge registers a gauge whose value is read from a function.
func (m *Metrics) RegisterGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// RegisterCounter registers a counter whose value is read from a function. The value must not decrease.
func (m *Metrics) RegisterCounter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// RegisterLabelledCounter registers counters that are read from a function, by the values of a label. Their number must be bounded.
func (m *Metrics) RegisterLabelledCounter(name, help, label string, values func() map[string]int64) {
	desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, nil)
	m.registry.MustRegister(labelledCounter{desc, values})
}

// labelledCounter implements prometheus.Collector.
type labelledCounter struct {
	desc   *prometheus.Desc
	values func() map[string]int64
}

func (c labelledCounter) Describe(out chan<- *prometheus.Desc) { out <- c.desc }

func (c labelledCounter) Collect(out chan<- prometheus.Metric) {
	for label, value := range c.values() {
		out <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(value), label)
	}
}

// RecordRequest records the result of a request and the time from its arrival to its end.
func (m *Metrics) RecordRequest(service string, r dispatch.Result, took time.Duration) {
	outcome := r.Outcome.String()
	m.requests.WithLabelValues(service, outcome, r.Reason).Inc()
	m.latency.WithLabelValues(service, outcome).Observe(took.Seconds())
	if r.Attempts > 0 {
		m.expectedWait.WithLabelValues(service).Observe(r.ExpectedWait.Seconds())
	}
}

// RecordRefusedKey counts a request that was refused because of its key.
func (m *Metrics) RecordRefusedKey(reason ingress.KeyRefusal) {
	m.refusedKeys.WithLabelValues(string(reason)).Inc()
}

// maxPriority is the lowest priority that is counted by itself. Requests of lower ones are counted with it.
const maxPriority = 9

// RecordRetry counts a request that has asked for a retry.
func (m *Metrics) RecordRetry(service string, priority int, isSent bool) {
	result := "denied"
	if isSent {
		result = "sent"
	}
	m.retries.WithLabelValues(service, strconv.Itoa(min(max(priority, 0), maxPriority)), result).Inc()
}

// RecordSentEvidence counts evidence that is sent to other VMs. If the evidence has an outcome, it also counts the
// attempt of this VM that ended with this outcome.
func (m *Metrics) RecordSentEvidence(e dispatch.Evidence) {
	m.evidenceSent.Inc()
	if e.HasOutcome {
		m.attempts.WithLabelValues(e.Service, e.Outcome.String()).Inc()
	}
}

// RecordReceivedEvidence counts evidence that is received from other VMs, health transitions included.
func (m *Metrics) RecordReceivedEvidence(dispatch.Evidence) { m.evidenceReceived.Inc() }

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
