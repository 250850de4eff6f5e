package health

import "time"

// TimeSinceWork returns for how long no evidence on the backend server has come from real work, here or from peers.
func (b *Board) TimeSinceWork(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byName[name]
	if s == nil {
		return 0
	}
	return b.settings.Now().Sub(s.lastWork)
}

// What a failed probe adds. Probes lag and mislead, so that they only support what real work shows.
const (
	probeScore = 0.15
	// maxProbeScore bounds what probes alone can make of a score.
	maxProbeScore = 0.3
)

// RecordProbeFailure takes a probe that was answered with an error or not in time.
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
