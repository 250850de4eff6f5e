package backendserver

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestIsCorrectAnswerRejectsChangedAnswers truncates and extends correct answers and replaces one byte of them.
func TestIsCorrectAnswerRejectsChangedAnswers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		padding := rapid.IntRange(0, 100).Draw(r, "padding")
		answer := correctAnswer("bookings-1", "POST", "/a?n=1", "body", padding)
		at := rapid.IntRange(len("bookings-1"), len(answer)-1).Draw(r, "at")
		if !IsCorrectAnswer(answer, "POST", "/a?n=1", "body") {
			r.Fatalf("correct answer %q is rejected", answer)
		}
		for _, wrong := range []string{
			answer[:at], answer + "x", answer[:at] + "!" + answer[at+1:], answer + answer,
		} {
			if IsCorrectAnswer(wrong, "POST", "/a?n=1", "body") {
				r.Fatalf("%q is accepted in place of %q", wrong, answer)
			}
		}
	})
	qt.Assert(t, IsCorrectAnswer(correctAnswer("a", "GET", "/", "", 9), "GET", "/other", ""), qt.IsFalse)
}

func TestReadJournalSkipsIncompleteLine(t *testing.T) {
	runs, err := ReadJournal(strings.NewReader("1700000000000000 a\n1700000000000001 \n17000"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(runs), qt.Equals, 2)
	qt.Assert(t, runs[0].ID, qt.Equals, "a")
}
