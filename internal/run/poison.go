package run

import (
	"context"

	"github.com/primroseladder/primroseladder/internal/poison"
)

func (x *execution) fingerprint() poison.Fingerprint {
	return poison.FingerprintOf(x.req.Entry.Service, x.req.Method, x.req.Target, x.req.Body)
}

// beginPoisonCheck reports whether the request is allowed to run. After a crash, requests with the same fingerprint run
// one at a time and the others wait here. done must be called when the attempt has ended.
func (x *execution) beginPoisonCheck(ctx context.Context) (done func(), allowed bool) {
	if x.runner.poison.IsEmpty() {
		return func() {}, true
	}
	return x.runner.poison.Begin(ctx, x.fingerprint())
}

// recordCrash records that the request was running when the backend server's connection broke, and shares new crashes.
func (x *execution) recordCrash(chosen *server) {
	f := x.fingerprint()
	if _, isNews := x.runner.poison.RecordCrash(f, chosen.vm.Name); isNews {
		x.runner.crashSharer.ShareCrash(x.req.Entry.Service, f, chosen.vm.Name)
	}
}

// clearPoison drops the crashes recorded for the request, because a backend server has answered it.
func (x *execution) clearPoison() {
	if x.runner.poison.IsEmpty() {
		return
	}
	f := x.fingerprint()
	if x.runner.poison.RecordAnswer(f) {
		x.runner.crashSharer.ShareCleared(x.req.Entry.Service, f)
	}
}
