package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/store"
)

// Conflict is the error for an edit of an entry that another accepted change has set differently. Its text shows both versions.
type Conflict struct {
	Service string
	// Theirs is the change that was accepted.
	Theirs *catalogue.Change
	// Yours is the version in the input and Accepted the one in the store, as YAML. A removed entry is empty.
	Yours    string
	Accepted string
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict: %s was changed by %s at %s in revision %d (%s)\n--- accepted\n%s--- yours\n%s",
		c.Service, valueOrNone(c.Theirs.Author), c.Theirs.Time.Format("2006-01-02 15:04:05Z07:00"), c.Theirs.Revision,
		valueOrNone(c.Theirs.Message), textOrRemoved(c.Accepted), textOrRemoved(c.Yours))
}

// Unwrap returns store.ErrConflict, so that errors.Is reports a conflict.
func (c *Conflict) Unwrap() error { return store.ErrConflict }

func textOrRemoved(text string) string {
	if text == "" {
		return "(removed)\n"
	}
	return text
}

// checkConflicts returns a Conflict if the changes after the base revision set an entry of the input to something else. The
// parameter newest is the store's revision. If it is above base but no change is found, the change log does not reach back to
// base.
func checkConflicts(ctx context.Context, kv store.Store, in input, base, newest uint64) error {
	since, err := store.NewChangeLog(kv).ReadSince(ctx, base)
	if err != nil {
		return err
	}
	if base < newest && len(since) == 0 {
		return fmt.Errorf("%w: the store's change log does not reach back to revision %d", ErrRefused, base)
	}
	latest := map[string]*catalogue.Change{}
	for _, c := range since {
		for _, service := range changedServices(c) {
			latest[service] = c
		}
	}
	for _, service := range slices.Sorted(maps.Keys(latest)) {
		if err := in.conflictWith(service, latest[service]); err != nil {
			return err
		}
	}
	return nil
}

// conflictWith returns a Conflict if the accepted change set the entry of a service to something else than the input does.
func (in input) conflictWith(service string, theirs *catalogue.Change) error {
	wanted, isWanted := in.wantedYAML(service)
	accepted := acceptedYAML(theirs, service)
	if !isWanted || accepted == wanted {
		return nil
	}
	return &Conflict{Service: service, Theirs: theirs, Yours: wanted, Accepted: accepted}
}

// wantedYAML returns the entry of a service in the input, or an empty string if the input removes it. The second result is false
// if the input leaves the entry as it is.
func (in input) wantedYAML(service string) (string, bool) {
	for _, e := range in.entries {
		if e.Service == service {
			text, _ := e.EncodeYAML()
			return string(text), true
		}
	}
	return "", in.isWholeCatalogue
}

// changedServices returns the services whose entries a change sets or removes.
func changedServices(c *catalogue.Change) []string {
	var names []string
	for _, e := range c.Entries {
		names = append(names, e.Service)
	}
	return append(names, c.Removed...)
}

// acceptedYAML returns the entry that a change sets for a service, or an empty string if the change removes it. An entry that
// cannot be decoded is returned as it is stored.
func acceptedYAML(c *catalogue.Change, service string) string {
	for _, e := range c.Entries {
		if e.Service != service {
			continue
		}
		entry, err := catalogue.DecodeEntry(e.Content)
		if err != nil {
			return string(e.Content) + "\n"
		}
		text, err := entry.EncodeYAML()
		if err != nil {
			return string(e.Content) + "\n"
		}
		return string(text)
	}
	return ""
}
