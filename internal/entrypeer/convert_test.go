package entrypeer

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
)

// TestForwardedResponseIsUnchanged checks that a response is the same after it was passed on by another VM. It guards against
// a re-send that is forwarded and whose caller is not told that the answer is that of an earlier send.
func TestForwardedResponseIsUnchanged(t *testing.T) {
	for _, isRemembered := range []bool{false, true} {
		response := &request.Response{
			Outcome: outcome.Done, Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("answer"),
			Backend: "bookings-0", RetryAfter: time.Second, Remembered: isRemembered,
		}
		qt.Check(t, responseFromProto(responseToProto("id", response)), qt.DeepEquals, response)
	}
}

// TestBackendServerCannotMarkAnAnswerAsRemembered checks that the header of a backend server does not count.
func TestBackendServerCannotMarkAnAnswerAsRemembered(t *testing.T) {
	response := &request.Response{Outcome: outcome.Done, Header: http.Header{header.Remembered: {"true"}}}
	qt.Check(t, responseFromProto(responseToProto("id", response)).Remembered, qt.IsFalse)
}
