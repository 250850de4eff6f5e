package gateway

import (
	"time"

	"go.uber.org/fx"

	"github.com/primroseladder/primroseladder/internal/blocklist"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/freshness"
	"github.com/primroseladder/primroseladder/internal/listen"
	"github.com/primroseladder/primroseladder/internal/metrics"
)

// countingReceiver is a vmpeer.Receiver that counts received evidence and passes it to the dispatcher, blocks to the list of
// blocked requests, and proofs to those of the keys.
type countingReceiver struct {
	*dispatch.Dispatcher
	*blocklist.List
	*KeyProofs
	metrics *metrics.Metrics
}

// ReceiveEvidence implements vmpeer.Receiver.
func (c countingReceiver) ReceiveEvidence(peer string, e dispatch.Evidence) {
	c.metrics.RecordReceivedEvidence(e)
	c.Dispatcher.ReceiveEvidence(peer, e)
}

// ReceiveHealthTransition implements vmpeer.Receiver.
func (c countingReceiver) ReceiveHealthTransition(e dispatch.Evidence) {
	c.metrics.RecordReceivedEvidence(e)
	c.Dispatcher.ReceiveHealthTransition(e)
}

func serveMetrics(lc fx.Lifecycle, in components) {
	m := in.Metrics
	m.RegisterCounter("store_calls_total", "Calls to the platform's store.", func() float64 {
		return float64(in.Platform.StoreCalls())
	})
	m.RegisterCounter("log_lines_dropped_total", "Log lines that were dropped.", func() float64 {
		return float64(in.Platform.LogLinesDropped())
	})
	m.RegisterGauge("copy_age_seconds", "Time since the copy of the store was last known to be complete.", func() float64 {
		return in.Copy.Age(time.Now()).Seconds()
	})
	m.RegisterGauge("key_proof_age_seconds", "Age of the proof that the keys are current; -1 for none.", func() float64 {
		if age := in.Proofs.Age(); age != freshness.NoAge {
			return age.Seconds()
		}
		return -1
	})
	m.RegisterGauge("lag_seconds", "How late this process runs.", func() float64 { return in.Lag.Lag().Seconds() })
	m.RegisterGauge("config_version", "Version of the configuration in force; 0 for none.", func() float64 {
		if table := in.State.Table(); table != nil {
			return float64(table.Config.Version)
		}
		return 0
	})
	m.RegisterGauge("blocked_requests", "Requests that are blocked because they crash backend servers.", func() float64 {
		blocked := 0
		for _, b := range in.Blocks.Known() {
			if !b.IsAnswered {
				blocked++
			}
		}
		return float64(blocked)
	})
	m.RegisterCounter("blocked_in_error_total", "Requests that were refused as blocked although a backend server has answered the same one later.",
		func() float64 { return float64(in.Blocks.Registry.BlockedInError()) })
	m.RegisterCounter("allowance_refused_total", "Requests beyond the allowance of their organisation.", func() float64 {
		return float64(in.Allowances.Refused())
	})
	m.RegisterCounter("allowance_unknown_total", "Requests refused since no VM could tell what is left of the allowance.", func() float64 {
		return float64(in.Allowances.Unconfirmed())
	})
	m.RegisterLabelledCounter("allowance_refused_by_organisation", "Requests beyond the allowance, of the organisations with the most.",
		"organisation", in.Allowances.MostRefused)
	m.RegisterGauge("neighbours", "Other live VMs of the availability zone, and store readers of other zones.", func() float64 {
		return float64(len(in.Fleet.Sources()))
	})
	listen.HTTPShort(lc, in.Platform.Settings.Get().MetricsListen, router(metricsPath, m.Handler()))
}

// metricsPath is the URL path of the metrics. deploy/system.toml contains it too.
const metricsPath = "/metrics"
