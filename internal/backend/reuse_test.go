package backend

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/header"
)

// misbehaviour is a fault that a peer makes in one answer.
type misbehaviour int

const (
	answersCorrectly misbehaviour = iota
	answersInChunks
	cutsAnswer
	cutsChunks
	answersTwice
	appendsSurplus
	prependsStrayAnswer
	answersPreviousRequest
	omitsRequestID
	answersAfterCancellation
	misbehaviourCount
)

// faultyPeer answers requests with the misbehaviours of its plan in turn, and correctly after the end of the plan.
type faultyPeer struct {
	mu           sync.Mutex
	plan         []misbehaviour
	next         int
	pendingStray string
	previous     string
}

func (p *faultyPeer) answer(r *http.Request, body string, nth int) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := r.Header.Get(header.RequestID)
	own := "answer to " + id + body
	before := p.pendingStray
	if nth == 0 {
		before = ""
	}
	p.pendingStray = ""
	how := answersCorrectly
	if p.next < len(p.plan) {
		how = p.plan[p.next]
	}
	p.next++
	previous := p.previous
	p.previous = okAnswer(id, own)
	switch how {
	case answersInChunks:
		return before + "HTTP/1.1 200 OK\r\n" + header.RequestID + ": " + id +
			"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(own, 4, false), false
	case cutsAnswer:
		whole := okAnswer(id, own)
		return before + whole[:len(whole)-3], true
	case cutsChunks:
		return before + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(own, 4, true), true
	case answersTwice:
		return before + okAnswer(id, own) + okAnswer(id, own), false
	case appendsSurplus:
		return before + okAnswer(id, own) + "surplus", false
	case prependsStrayAnswer:
		p.pendingStray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
		return before + okAnswer(id, own), false
	case answersPreviousRequest:
		return before + previous, false
	case omitsRequestID:
		return before + fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(own), own), false
	case answersAfterCancellation:
		time.Sleep(2 * shortTimeout)
		return before + okAnswer(id, own), false
	default:
		return before + okAnswer(id, own), false
	}
}

// shortTimeout is the timeout of requests whose answer comes late or never.
const shortTimeout = 4 * time.Millisecond

// TestAnswerIsCompleteAndMatchesRequest guards against a request that gets a truncated answer, or the answer to another
// request, over a reused connection. It sends requests one after the other through one pool to a faulty peer. Each request
// must fail or get its own whole answer. Once the peer answers correctly, a request must succeed on the second try at the
// latest, when the faulty connections have been closed.
func TestAnswerIsCompleteAndMatchesRequest(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		plan := rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(misbehaviourCount)-1), func(i int) misbehaviour {
			return misbehaviour(i)
		}), 1, 8).Draw(r, "plan")
		peer := &faultyPeer{plan: plan}
		raw := newRawPeer(t, peer.answer)
		defer raw.listener.Close()
		pool := NewPool(raw.address(), 2)
		defer pool.Close()
		for i, how := range plan {
			timeout := exchangeTimeout
			if how == answersAfterCancellation || how == answersPreviousRequest {
				timeout = shortTimeout
			}
			checkOwnAnswer(r, pool, fmt.Sprintf("id-%d", i), timeout)
		}
		if err := checkOwnAnswer(r, pool, "last-1", exchangeTimeout); err != nil {
			if err := checkOwnAnswer(r, pool, "last-2", exchangeTimeout); err != nil {
				r.Fatalf("the last request failed: %v", err)
			}
		}
		if n := pool.OpenConns(); n > 1 {
			r.Fatalf("%d connections are open", n)
		}
	})
}

func checkOwnAnswer(r *rapid.T, pool *Pool, id string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	body := strings.Repeat("b", rapid.IntRange(0, 40).Draw(r, "body"))
	answer, err := pool.Do(ctx, newRequest(id, http.MethodPost, body))
	if err == nil && string(answer.Body.Bytes()) != "answer to "+id+body {
		r.Fatalf("%s got %q", id, answer.Body.Bytes())
	}
	return err
}
