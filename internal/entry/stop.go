package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/entrypeer"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/once"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	// leavePropagationTime is within what time an announcement reaches all keepers.
	leavePropagationTime = 3 * time.Second
	// inFlightGrace is how long a request may take to the VM that was begun in the last moment of an answer that names it:
	// a few network delays of up to 50 ms, and the caller's own delays.
	inFlightGrace = 250 * time.Millisecond
	// handOverTimeout bounds the passing on of the memory.
	handOverTimeout = 20 * time.Second
)

// Stopper carries out the planned stop of an entry: it leaves the answers to callers, serves until the answers that
// name this VM have run out, and hands its memory over.
type Stopper struct {
	settings  *Settings
	announcer *Announcer
	guard     *once.Guard
	peers     *entrypeer.Client
	log       zerolog.Logger
	leaving   atomic.Bool
	// acceptingCallers is closed when callers' connections are taken.
	acceptingCallers <-chan struct{}
}

// NewStopper returns the stopper of an entry.
func NewStopper(s *Settings, announcer *Announcer, guard *once.Guard, peers *entrypeer.Client, log zerolog.Logger) *Stopper {
	return &Stopper{settings: s, announcer: announcer, guard: guard, peers: peers, log: log}
}

// Leave announces the stop and waits until no caller may use an answer that names this VM.
func (s *Stopper) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	everyone, err := s.announcer.announce(ctx, s.settings.VM, leaveNoticeLifetime)
	if err != nil {
		logevent.LeaveNotAnnounced.Log(s.log).Err(err).Send()
	}
	periodic.Pause(ctx, leaveGracePeriod(s.settings.AnswerLifetime.Std(), everyone))
	return nil
}

// leaveGracePeriod is how long a VM takes callers after its announcement. everyone tells that all keepers have heard it.
func leaveGracePeriod(lifetime time.Duration, everyone bool) time.Duration {
	wait := lifetime + inFlightGrace
	if !everyone {
		wait += leavePropagationTime
	}
	return wait
}

// AnnounceReturn announces that this VM takes work, in case its last stop was announced. It waits until callers' connections
// are taken, and tries until the keeper answers.
func (s *Stopper) AnnounceReturn(ctx context.Context) {
	select {
	case <-s.acceptingCallers:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil && !s.leaving.Load() {
		if _, err := s.announcer.announce(ctx, s.settings.VM, 0); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceRetryDelay):
		}
	}
}

// HandOver passes the memory of idempotency keys on, after the last request was answered.
func (s *Stopper) HandOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	s.guard.Flush(ctx)
	records, err := s.guard.HandOver(ctx, s.peers)
	if err != nil {
		logevent.HandOverFailed.Log(s.log).Err(err).Send()
		return nil
	}
	logevent.HandedOver.Log(s.log).Int("records", records).Send()
	return nil
}

// CloseConnections has callers close each connection after its next answer during a planned stop.
func (s *Stopper) CloseConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
