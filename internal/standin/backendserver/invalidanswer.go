package backendserver

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/header"
)

// invalidAnswer is written to the connection in place of a correct answer.
type invalidAnswer struct {
	raw string
	// isKeptOpen is set if the connection stays open for keepOpenTime, so that the client cannot detect the end of the answer
	// by the end of the connection.
	isKeptOpen bool
}

// keepOpenTime is how long at most a connection stays open after an invalid answer with isKeptOpen.
const keepOpenTime = 2 * time.Second

// writeInvalidAnswer takes over the connection and writes a random invalid form of the answer to the request with the id.
func writeInvalidAnswer(w http.ResponseWriter, id, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	choices := invalidAnswers(id, text)
	choice := choices[rand.IntN(len(choices))]
	_, _ = conn.Write([]byte(choice.raw))
	if choice.isKeptOpen {
		_ = conn.SetReadDeadline(time.Now().Add(keepOpenTime))
		// Read returns when the entry closes the connection or sends the next request, which stays unanswered.
		_, _ = conn.Read(make([]byte, 1))
	}
}

// invalidAnswers returns all invalid forms of an answer: bodies shorter or longer than declared, bodies without a declared
// end, an additional answer, the answer to another request, and headers that are missing or incomplete.
func invalidAnswers(id, text string) []invalidAnswer {
	idHeader := header.RequestID + ": " + id + "\r\n"
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	ok := "HTTP/1.1 200 OK\r\n"
	half := text[:len(text)/2]
	unsolicited := ok + length(5) + "\r\nstray"
	return []invalidAnswer{
		{raw: ok + idHeader + length(len(text)) + "\r\n" + half},
		{raw: ok + idHeader + length(len(text)) + "\r\n" + half, isKeptOpen: true},
		{raw: ok + idHeader + length(len(text)+10) + "\r\n" + text, isKeptOpen: true},
		{raw: ok + idHeader + length(len(text)) + "\r\n" + text + "surplus", isKeptOpen: true},
		{raw: ok + idHeader + length(len(text)) + "\r\n" + text + unsolicited, isKeptOpen: true},
		{raw: ok + idHeader + "\r\n" + half},
		{raw: ok + idHeader + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(half), half)},
		{raw: ok + header.RequestID + ": " + strings.Repeat("0", len(id)) + "\r\n" + length(len(text)) + "\r\n" + text},
		{raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{raw: "HTTP/1.1 200 OK\r\nContent-Le"},
		{raw: ""},
	}
}
