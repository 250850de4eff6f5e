package dispatch

import (
	"errors"
	"time"

	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/poison"
)

// errPastDeadline means that the deadline has passed. The timer of a context may be late by as much as the process.
var errPastDeadline = errors.New("the deadline has passed")

// errSuperseded means that the configuration in force no longer lets the request go to its service.
var errSuperseded = errors.New("the configuration has changed since the service was chosen")

// errBlocked means that the request has been blocked since it was allowed to run.
var errBlocked = errors.New("the request has crashed backend servers meanwhile")

// errServerLeft means that the backend server has left, or has said that it leaves, since it was chosen.
var errServerLeft = errors.New("the backend server has left since it was chosen")

// confirmChoice returns an error if the choice of a backend server no longer holds. It is called right before the request is
// written: until then the request has waited, for a connection or for the processor.
func (a *attemptLoop) confirmChoice(res *reservation, f poison.Fingerprint, now time.Time) error {
	if !now.Before(a.deadline) {
		return errPastDeadline
	}
	if a.dispatcher.crashes.IsBlocked(f) {
		return errBlocked
	}
	if isAllowed := a.request.IsStillAllowed; isAllowed != nil && !isAllowed() {
		return errSuperseded
	}
	if !a.service.news.mayReceive(incarnation{res.id, res.said.Incarnation}, res.address) {
		return errServerLeft
	}
	return nil
}

// lateWrite is how long after the choice of its backend server the writing of a request is logged as late.
const lateWrite = 250 * time.Millisecond

// logIfLate logs a request that is written after its deadline, or long after its backend server was chosen.
func (a *attemptLoop) logIfLate(res *reservation, t *Timing) {
	r := a.request
	if t.WrittenAt.Sub(t.ChosenAt) < lateWrite && t.WrittenAt.Before(a.deadline) {
		return
	}
	logevent.WrittenLate.Log(a.dispatcher.options.Log).Str("request", r.ID).Str("service", r.Service).Str("server", res.id).
		Uint64("config", r.ConfigVersion).Uint64("entry_revision", t.EntryRevision).Time("read", r.Arrival).
		Dur("chosen_ms", t.ChosenAt.Sub(r.Arrival)).Dur("written_ms", t.WrittenAt.Sub(r.Arrival)).
		Dur("left_ms", a.deadline.Sub(t.WrittenAt)).Dur("lag_ms", t.Lag).Send()
}

// afterOldChoice sets the result after an attempt that confirmChoice has stopped. The backend server has seen nothing of it, so it is
// no evidence. isOld is false for other errors.
func (a *attemptLoop) afterOldChoice(res *reservation, err error) (next nextStep, isOld bool) {
	switch {
	case errors.Is(err, errPastDeadline):
		next = a.setNotRun(reasonTimeLimit, stepFinish)
	case errors.Is(err, errBlocked):
		next = a.setNotRun(reasonBlocked, stepFinish)
		a.lastResult.RetryAfter = retryAfterBlocked
	case errors.Is(err, errSuperseded):
		next = a.setNotRun(reasonSuperseded, stepFinish)
		a.lastResult.IsSuperseded = a.lastResult.Outcome == NotRun
	case errors.Is(err, errServerLeft):
		next = a.setNotRun(reasonServerLeft, stepChooseAgain)
	default:
		return stepFinish, false
	}
	res.release()
	return next, true
}
