package gateway

import (
	"time"

	"go.uber.org/fx"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/listen"
	"github.com/primroseladder/primroseladder/internal/metrics"
)

// counting counts the evidence that the dispatcher hears.
type counting struct {
	*dispatch.Dispatcher
	metrics *metrics.Metrics
}

// ReceiveEvidence implements vmpeer.Receiver.
func (c counting) ReceiveEvidence(peer string, e dispatch.Evidence) {
	c.metrics.Heard(e)
	c.Dispatcher.ReceiveEvidence(peer, e)
}

// ReceiveHealthTransition implements vmpeer.Receiver.
func (c counting) ReceiveHealthTransition(e dispatch.Evidence) {
	c.metrics.Heard(e)
	c.Dispatcher.ReceiveHealthTransition(e)
}

func serveMetrics(lc fx.Lifecycle, in parts) {
	m := in.Metrics
	m.Counter("store_calls_total", "Calls to the platform's store.", func() float64 { return float64(in.Platform.StoreCalls()) })
	m.Counter("log_lines_dropped_total", "Log lines that were dropped.", func() float64 { return float64(in.Platform.LogLinesDropped()) })
	m.Gauge("copy_age_seconds", "Time since the copy of the store was known to be complete.", func() float64 {
		return in.Copy.Age(time.Now()).Seconds()
	})
	m.Gauge("config_version", "Version of the configuration in force; 0 for none.", func() float64 {
		if table := in.State.Table(); table != nil {
			return float64(table.Config.Version)
		}
		return 0
	})
	m.Gauge("neighbours", "VMs of the availability zone that are heard.", func() float64 { return float64(len(in.Fleet.Sources())) })
	listen.HTTP(lc, in.Platform.Settings.Get().MetricsListen, router(metricsPath, m.Handler()))
}

// metricsPath is where the metrics are served; deploy/system.toml names the same.
const metricsPath = "/metrics"
