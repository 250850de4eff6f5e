package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/freshness"
	"github.com/primroseladder/primroseladder/internal/ingress"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/mirror"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/vmpeer"
)

// KeyProofs keeps the proof that the keys of this VM are current, where keys that are taken away bind VMs that cannot hear of it.
// Elsewhere, and while the configuration has no organisations, it asks nothing and every key may be served.
type KeyProofs struct {
	state *State
	copy  *mirror.Copy
	// bound returns Settings.RevocationBound in force.
	bound   func() time.Duration
	tracker *freshness.Tracker
	fleet   *membership.Fleet
	// ask sends a question to another VM.
	ask func(to membership.Member, nonce uint64)
	// onChange is called when this VM begins or ceases to serve keys.
	onChange func()
	log      zerolog.Logger
	// wasUnproven is set if the VM served no keys at the last check, and from the start.
	wasUnproven bool
}

func newKeyProofs(
	live *LiveSettings, state *State, c *mirror.Copy, f *membership.Fleet, ep *vmpeer.Endpoint, log zerolog.Logger,
) *KeyProofs {
	bound := func() time.Duration { return live.Get().RevocationBound }
	return &KeyProofs{
		state: state, copy: c, bound: bound, tracker: freshness.NewTracker(bound, freshness.BootClock), fleet: f, ask: ep.AskProof,
		onChange: ep.AnnounceToZone, log: log, wasUnproven: true,
	}
}

// isBound reports whether the settings bind VMs that cannot hear of changes.
func (k *KeyProofs) isBound() bool { return k.bound() > 0 }

// isNeeded reports whether requests carry keys, as far as this VM knows, and the settings require proofs for them.
func (k *KeyProofs) isNeeded() bool {
	if !k.isBound() {
		return false
	}
	table := k.state.Table()
	return table == nil || table.Config.Organisations != nil
}

func (k *KeyProofs) version() uint64 {
	if table := k.state.Table(); table != nil {
		return table.Config.Version
	}
	return 0
}

// AwaitFirst waits, within startupTime of the start, for the first proof of a VM that needs one: requests that arrive when power
// returns need not be refused.
func (k *KeyProofs) AwaitFirst(ctx context.Context) {
	if left := time.Until(k.state.started.Add(startupTime)); left > 0 && k.isNeeded() {
		periodic.Await(ctx, k.tracker.First(), left)
	}
}

// maxUnknownAge is the age of the copy of the store up to which a key that is not known does not exist.
const maxUnknownAge = 2 * time.Second

// KeyState returns what this VM may do with the keys of a version of the configuration.
func (k *KeyProofs) KeyState(version uint64) ingress.KeyState {
	if !k.isBound() {
		return ingress.KeyState{MayServe: true, IsCurrent: k.copy.Age(time.Now()) <= maxUnknownAge, ProofAge: freshness.NoAge}
	}
	s := k.tracker.State(version)
	return ingress.KeyState{MayServe: s.MayServe, IsCurrent: s.IsCurrent, ProofAge: s.Age}
}

// IsUnproven reports whether this VM has to refuse requests with keys.
func (k *KeyProofs) IsUnproven() bool { return k.isNeeded() && !k.tracker.State(k.version()).MayServe }

// Age returns the age of the proof, or freshness.NoAge.
func (k *KeyProofs) Age() time.Duration {
	if !k.isBound() {
		return freshness.NoAge
	}
	return k.tracker.State(k.version()).Age
}

// BeginRead implements mirror.Options.
func (k *KeyProofs) BeginRead() (end func()) {
	if !k.isBound() {
		return func() {}
	}
	sent := k.tracker.Now()
	return func() {
		// All that the store had when the read was sent is in force, unless it is invalid.
		if version := k.version(); version > 0 {
			k.tracker.RecordRead(version, sent)
		}
	}
}

// MustRead implements mirror.Options.
func (k *KeyProofs) MustRead() bool { return k.isNeeded() && k.tracker.MustRead(k.version()) }

// KnownProof implements vmpeer.Prover.
func (k *KeyProofs) KnownProof() (version uint64, age time.Duration, ok bool) {
	if !k.isBound() {
		return 0, 0, false
	}
	return k.tracker.Answer(k.version())
}

// ReceiveProof implements vmpeer.Prover.
func (k *KeyProofs) ReceiveProof(nonce, version uint64, age time.Duration) {
	if k.isBound() {
		k.tracker.ReceiveAnswer(nonce, version, age)
	}
}

// watchShare is the share of the bound for which the store holds a watch open: a VM that loses its way to the store right before the
// end of a watch has a proof of this age.
const watchShare = 1.0 / 8

// watchWait returns a function that returns how long the store may hold a watch open, or 0 for the default.
func watchWait(live *LiveSettings) func() time.Duration {
	return func() time.Duration { return time.Duration(watchShare * float64(live.Get().RevocationBound)) }
}

// unboundInterval is the interval at which a VM looks whether the settings bind it.
const unboundInterval = time.Second

// Run asks other VMs until ctx ends.
func (k *KeyProofs) Run(ctx context.Context) {
	for {
		interval := unboundInterval
		if k.isBound() {
			interval = freshness.FirstAskInterval
			k.askIfDue()
		}
		if !periodic.Pause(ctx, interval) {
			return
		}
	}
}

func (k *KeyProofs) askIfDue() {
	if !k.isNeeded() {
		return
	}
	k.announceChange()
	nonce, attempt, due := k.tracker.Ask(k.version())
	if !due {
		return
	}
	if to, found := k.fleet.ProofSource(attempt, time.Now()); found {
		k.ask(to, nonce)
	}
}

// announceChange tells the zone when this VM begins or ceases to serve keys.
func (k *KeyProofs) announceChange() {
	isUnproven := k.IsUnproven()
	if isUnproven == k.wasUnproven {
		return
	}
	k.wasUnproven = isUnproven
	event := logevent.KeysProven
	if isUnproven {
		event = logevent.KeysUnproven
	}
	event.Log(k.log).Uint64("version", k.version()).Dur("proof_age_ms", k.Age()).Send()
	k.onChange()
}
