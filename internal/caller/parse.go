// Package caller implements the HTTP interface of an entry for callers. Invalid requests are answered with a 4xx status and the
// outcome not-run, or unknown if an earlier send of the same idempotency key may have run.
package caller

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
)

// maxKeyBytes bounds the length of the idempotency key and of the organisation, in bytes.
const maxKeyBytes = 256

// parseError describes why a request is refused: the reason sent to the caller, and a detail for people.
type parseError struct {
	reason outcome.Reason
	detail string
}

func (e *parseError) Error() string { return string(e.reason) + ": " + e.detail }

// parse validates a caller's request, finds its route and reads its headers and whole body.
func parse(w http.ResponseWriter, r *http.Request, routes *catalogue.RouteTable) (*request.Request, *parseError) {
	if err := validateRequest(r); err != nil {
		return nil, &parseError{outcome.ReasonBadRequest, err.Error()}
	}
	entry, route, found := routes.Find(r.URL.Path)
	if !found {
		return nil, &parseError{outcome.ReasonNoRoute, "no route for " + r.URL.Path}
	}
	req := &request.Request{
		ID: newRequestID(), Entry: entry, Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host, Header: r.Header,
		Organisation: r.Header.Get(header.Organisation), Key: r.Header.Get(header.IdempotencyKey),
		Idempotent: route.IsIdempotent(r.Method) && r.Header.Get(header.NonIdempotent) != "true",
	}
	if err := parseControlHeaders(r, req, entry.Limits.RequestTimeout.Std()); err != nil {
		return nil, &parseError{outcome.ReasonBadRequest, err.Error()}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, entry.Limits.MaxRequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &parseError{outcome.ReasonTooLarge, fmt.Sprintf("the body is longer than %d bytes", tooLarge.Limit)}
	}
	if err != nil {
		return nil, &parseError{outcome.ReasonBadRequest, "the body did not arrive whole"}
	}
	req.Body = body
	req.Arrival = time.Now()
	return req, nil
}

// singleValueHeaders are the headers that a request may have at most once.
var singleValueHeaders = []string{
	header.IdempotencyKey, header.SendNumber, header.NotRunThrough, header.TimeoutMS, header.Organisation,
	header.NonIdempotent,
}

// validateRequest returns an error for ambiguous requests and for those that ask for another protocol.
func validateRequest(r *http.Request) error {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.Header.Get("Upgrade") != "" {
		return errors.New("CONNECT, TRACE and protocol upgrades are not taken")
	}
	if !strings.HasPrefix(r.URL.Path, "/") {
		return errors.New("the path must begin with /")
	}
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return errors.New("the path must not have segments of dots")
		}
	}
	for _, name := range singleValueHeaders {
		if len(r.Header[name]) > 1 {
			return fmt.Errorf("%s must stand once", name)
		}
	}
	if value := r.Header.Get(header.NonIdempotent); value != "" && value != "true" && value != "false" {
		return fmt.Errorf("%s must be true or false", header.NonIdempotent)
	}
	return nil
}

// parseControlHeaders checks the lengths of the idempotency key and the organisation, and reads the send numbers and the timeout
// into req. The timeout is limited to maxTimeout, which is also its default.
func parseControlHeaders(r *http.Request, req *request.Request, maxTimeout time.Duration) error {
	if len(req.Key) > maxKeyBytes || len(req.Organisation) > maxKeyBytes {
		return fmt.Errorf("%s and %s take %d bytes at most", header.IdempotencyKey, header.Organisation, maxKeyBytes)
	}
	var err error
	if req.SendNumber, err = parsePositiveHeader(r, header.SendNumber); err != nil {
		return err
	}
	if req.NotRunThrough, err = parsePositiveHeader(r, header.NotRunThrough); err != nil {
		return err
	}
	if req.Key == "" && (req.SendNumber > 0 || req.NotRunThrough > 0) {
		return fmt.Errorf("%s goes with %s", header.SendNumber, header.IdempotencyKey)
	}
	if req.NotRunThrough > 0 && req.SendNumber == 0 {
		return fmt.Errorf("%s goes with %s", header.NotRunThrough, header.SendNumber)
	}
	if req.SendNumber > 0 && req.NotRunThrough >= req.SendNumber {
		return fmt.Errorf("%s must be below %s", header.NotRunThrough, header.SendNumber)
	}
	timeoutMS, err := parsePositiveHeader(r, header.TimeoutMS)
	if err != nil {
		return err
	}
	timeout := time.Duration(timeoutMS) * time.Millisecond
	if timeout == 0 || timeout > maxTimeout {
		timeout = maxTimeout
	}
	req.Deadline = time.Now().Add(timeout)
	return nil
}

// parsePositiveHeader returns the value of a header that holds a whole number from 1, or 0 if the header is missing.
func parsePositiveHeader(r *http.Request, name string) (uint32, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("%s must be a whole number from 1", name)
	}
	return uint32(n), nil
}

// newRequestID returns a random request ID of 32 hexadecimal digits.
func newRequestID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
