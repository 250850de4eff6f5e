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
	// leavePropagationTime is the time within which a leave notice reaches all keepers.
	leavePropagationTime = 3 * time.Second
	// inFlightGrace is how long a request may take to arrive at this VM if the caller begins it just before the cached answer
	// that names this VM expires: a few network delays of up to 50 ms, and the caller's own delays.
	inFlightGrace = 250 * time.Millisecond
	// handOverTimeout bounds the hand-over of the memory of idempotency keys.
	handOverTimeout = 20 * time.Second
)

// Stopper performs the planned stop of an entry: it announces that this VM is leaving, so that new answers to callers do not
// name it, serves until the cached answers that name it have expired, and hands over the memory of idempotency keys.
type Stopper struct {
	settings  *Settings
	announcer *Announcer
	guard     *once.Guard
	peers     *entrypeer.Client
	log       zerolog.Logger
	// leaving is set when the planned stop begins.
	leaving atomic.Bool
	// acceptingCallers is closed once the callers' listener accepts connections.
	acceptingCallers <-chan struct{}
}

// NewStopper returns the stopper of an entry.
func NewStopper(s *Settings, announcer *Announcer, guard *once.Guard, peers *entrypeer.Client, log zerolog.Logger) *Stopper {
	return &Stopper{settings: s, announcer: announcer, guard: guard, peers: peers, log: log}
}

// Leave announces the planned stop and waits until every cached answer that names this VM has expired. It never returns an
// error, so that the stop proceeds.
func (s *Stopper) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	allReceived, err := s.announcer.announce(ctx, s.settings.VM, leaveNoticeLifetime)
	if err != nil {
		logevent.LeaveNotAnnounced.Log(s.log).Err(err).Send()
	}
	periodic.Pause(ctx, leaveGracePeriod(s.settings.AnswerLifetime.Std(), allReceived))
	return nil
}

// leaveGracePeriod returns how long a VM accepts callers after announcing its stop. lifetime is how long callers cache answers,
// and allReceived reports whether all keepers have already received the announcement.
func leaveGracePeriod(lifetime time.Duration, allReceived bool) time.Duration {
	wait := lifetime + inFlightGrace
	if !allReceived {
		wait += leavePropagationTime
	}
	return wait
}

// AnnounceReturn announces that this VM accepts work, in case a leave notice for it is still in force. It first waits until
// callers' connections are accepted, and retries until the keeper answers, the planned stop begins or ctx ends.
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

// HandOver sends the memory of idempotency keys to the VMs that become their homes. It runs after the last request has been
// answered. Failures are logged and not returned, so that the stop proceeds.
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

// CloseConnections wraps a handler so that, during a planned stop, callers close each connection after its next answer.
func (s *Stopper) CloseConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
