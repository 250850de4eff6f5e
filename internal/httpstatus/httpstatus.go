// Package httpstatus decides which statuses may end an HTTP request. The parser of net/http accepts any three characters that are a
// number, after any number of spaces.
package httpstatus

// IsFinal reports whether a status belongs to one of the classes of RFC 9110 that end a request: 2xx to 5xx. What carries any other
// status is no answer.
func IsFinal(status int) bool { return status >= 200 && status < 600 }

const version = "HTTP/1.1"

// LineLength is the length of a status line to the end of its status.
const LineLength = len(version + " 200")

// IsLine reports whether a line of LineLength bytes or more has a single space after the version, and a status of three digits.
func IsLine(line []byte) bool {
	if len(line) < LineLength || line[len(version)] != ' ' {
		return false
	}
	for _, b := range line[len(version)+1 : LineLength] {
		if b < '0' || b > '9' {
			return false
		}
	}
	return true
}
