package backendserver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primroseladder/primroseladder/internal/header"
)

// correctAnswer returns the only correct answer of the named backend server to a request with the given length of the
// padding: a line that echoes the request, and padding that depends on the request.
func correctAnswer(name, method, target, body string, padding int) string {
	request := fmt.Sprintf("%s %s %s\n", method, target, body)
	return fmt.Sprintf("%s+%d %s%s", name, padding, request, paddingFor(request, padding))
}

// paddingFor returns n letters and digits that are derived from the text.
func paddingFor(text string, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz012345"
	seed := xxhash.Sum64String(text)
	random := rand.New(rand.NewPCG(seed, seed))
	padding := make([]byte, n)
	for i := range padding {
		padding[i] = letters[random.IntN(len(letters))]
	}
	return string(padding)
}

// IsCorrectAnswer reports whether an answer is byte for byte the correct one of any backend server to the request.
func IsCorrectAnswer(answer, method, target, body string) bool {
	sender, _, _ := strings.Cut(answer, " ")
	name, count, found := strings.Cut(sender, "+")
	padding, err := strconv.Atoi(count)
	if !found || err != nil || padding < 0 || padding > len(answer) {
		return false
	}
	return answer == correctAnswer(name, method, target, body, padding)
}

// answer writes the answer to a request, or the form of it that the fault requires. A correct answer echoes the request,
// so that a caller can check with IsCorrectAnswer that it received the answer to its own request.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	if fault.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	if rand.IntN(100) < fault.ErrorPercent {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	padding := rand.IntN(2*s.settings.MeanAnswerBytes + 1)
	text := correctAnswer(s.settings.Name, r.Method, r.URL.RequestURI(), string(body), padding)
	if rand.IntN(100) < fault.SpoilPercent {
		writeInvalidAnswer(w, r.Header.Get(header.RequestID), text)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault.Truncate {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	if fault.TrickleMS > 0 {
		trickle(w, text, time.Duration(fault.TrickleMS)*time.Millisecond)
		return
	}
	_, _ = io.WriteString(w, text)
}

// trickle writes the text byte by byte, with a pause of gap after each.
func trickle(w http.ResponseWriter, text string, gap time.Duration) {
	flusher := http.NewResponseController(w)
	for i := range len(text) {
		_, _ = io.WriteString(w, text[i:i+1])
		_ = flusher.Flush()
		time.Sleep(gap)
	}
}
