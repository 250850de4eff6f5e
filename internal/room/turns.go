package room

import "time"

// maxOrganisations limits the organisations whose turns are counted. Further ones are counted together.
const maxOrganisations = 256

// turns counts which organisations have had retries on this VM, so that one that floods a service doesn't take them from the others.
type turns struct {
	since time.Time
	// taken holds the retries of each organisation that has asked for one since then.
	taken map[string]int
	total int
}

func newTurns() turns { return turns{taken: map[string]int{}} }

// ask records that an organisation asks for a retry. Counting starts again after each window.
func (t *turns) ask(organisation string, now time.Time, window time.Duration) {
	if now.Sub(t.since) >= window {
		*t = turns{since: now, taken: map[string]int{}}
	}
	organisation = t.counted(organisation)
	t.taken[organisation] += 0
}

func (t *turns) take(organisation string) {
	t.taken[t.counted(organisation)]++
	t.total++
}

// isAhead reports whether an organisation has had more than its share, which is equal for all that have asked.
func (t *turns) isAhead(organisation string) bool {
	had := t.taken[t.counted(organisation)]
	return len(t.taken) > 1 && had > t.total/len(t.taken)+freeRetries
}

// counted returns the name under which an organisation is counted.
func (t *turns) counted(organisation string) string {
	if _, isKnown := t.taken[organisation]; !isKnown && len(t.taken) >= maxOrganisations {
		return ""
	}
	return organisation
}
