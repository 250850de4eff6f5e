package catalogue

import (
	"encoding/json"
	"time"
)

// Change is one change of the catalogue. It turns revision N-1 into Revision N.
type Change struct {
	Revision uint64 `json:"revision"`
	// OperationID is unique for each change. If the store's response to a write is lost, the id shows whether the
	// stored change is the one that was written.
	OperationID string `json:"operation_id"`
	// PreviousOperationID is the operation id of the previous revision, so that two histories cannot be mixed.
	PreviousOperationID string    `json:"previous_operation_id,omitempty"`
	Author              string    `json:"author"`
	Message             string    `json:"message"`
	Time                time.Time `json:"time"`
	// Entries are the entries that the change adds or replaces, in their JSON form.
	Entries []EncodedEntry `json:"entries,omitempty"`
	// Removed names the services that the change removes.
	Removed []string `json:"removed,omitempty"`
}

// EncodedEntry is an entry in its JSON form.
type EncodedEntry struct {
	Service string          `json:"service"`
	Content json.RawMessage `json:"content"`
}

// Encode returns the JSON form of the change.
func (c *Change) Encode() ([]byte, error) { return json.Marshal(c) }

// DecodeChange decodes the JSON form of a change.
func DecodeChange(content []byte) (*Change, error) {
	var c Change
	if err := json.Unmarshal(content, &c); err != nil {
		return nil, err
	}
	return &c, nil
}

// size returns the approximate size of the change in bytes.
func (c *Change) size() int {
	size := len(c.OperationID) + len(c.Author) + len(c.Message)
	for _, e := range c.Entries {
		size += len(e.Service) + len(e.Content)
	}
	return size
}
