package backend

import "io"

// Body is the body of an answer in the parts in which it was read. A large body is never joined for its caller, which would take its
// memory a second time.
type Body [][]byte

// Len returns the number of bytes.
func (b Body) Len() int {
	n := 0
	for _, part := range b {
		n += len(part)
	}
	return n
}

// Bytes returns the body as one slice, which is a copy if it has several parts.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	out := make([]byte, 0, b.Len())
	for _, part := range b {
		out = append(out, part...)
	}
	return out
}

// WriteTo implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (written int64, err error) {
	for _, part := range b {
		n, err := w.Write(part)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
