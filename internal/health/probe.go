package health

import "time"

// TimeSinceWork returns the time since the last attempt on the backend server or the last opinion of a peer on it. It is
// 0 if the backend server is not live.
func (b *Board) TimeSinceWork(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byName[name]
	if s == nil {
		return 0
	}
	return b.settings.Now().Sub(s.lastWork)
}

// Scores of failed probes. Probes are slow to detect a fault and can be wrong, so they only support the evidence of real
// requests.
const (
	// probeScore is what one failed probe adds.
	probeScore = 0.15
	// maxProbeScore is the highest score that probes alone can give.
	maxProbeScore = 0.3
)

// RecordProbeFailure records a probe that was answered with an error or not in time.
func (b *Board) RecordProbeFailure(name string) {
	b.mu.Lock()
	s := b.byName[name]
	if s == nil {
		b.mu.Unlock()
		return
	}
	now := b.settings.Now()
	local := b.decayedLocalEvidence(s, now)
	local.failing = max(local.failing, min(maxProbeScore, local.failing+probeScore))
	local.kind = max(local.kind, KindFailing)
	b.needsReassessment = true
	b.finish(append(b.reassess(now), b.opinionIfChanged(s, now)...))
}
