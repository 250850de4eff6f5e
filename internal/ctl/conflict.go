package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/store"
)

// Conflict is an edit of an entry that someone else changed meanwhile. It shows both versions.
type Conflict struct {
	Service string
	// Theirs is the change that was accepted.
	Theirs *catalogue.Change
	// Yours and Accepted are the two versions in YAML. Removed entries are empty.
	Yours    string
	Accepted string
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict: %s was changed by %s at %s in revision %d (%s)\n--- accepted\n%s--- yours\n%s",
		c.Service, orNone(c.Theirs.Author), c.Theirs.Time.Format("2006-01-02 15:04:05Z07:00"), c.Theirs.Revision,
		orNone(c.Theirs.Message), orRemoved(c.Accepted), orRemoved(c.Yours))
}

// Unwrap makes the error a store.ErrConflict.
func (c *Conflict) Unwrap() error { return store.ErrConflict }

func orRemoved(text string) string {
	if text == "" {
		return "(removed)\n"
	}
	return text
}

// checkSince returns a Conflict where the store's changes after the base revision made something else of an entry than
// what is wanted.
func checkSince(ctx context.Context, kv store.Store, in input, base, newest uint64) error {
	since, err := store.NewChangeLog(kv).ReadSince(ctx, base)
	if err != nil {
		return err
	}
	if base < newest && len(since) == 0 {
		return fmt.Errorf("%w: the store no longer holds the changes since revision %d", ErrRefused, base)
	}
	latest := map[string]*catalogue.Change{}
	for _, c := range since {
		for _, service := range touched(c) {
			latest[service] = c
		}
	}
	for _, service := range slices.Sorted(maps.Keys(latest)) {
		if err := in.clash(service, latest[service]); err != nil {
			return err
		}
	}
	return nil
}

// clash returns a Conflict where the accepted change made something else of the service than what is wanted.
func (in input) clash(service string, theirs *catalogue.Change) error {
	wanted, isWanted := in.version(service)
	accepted := versionOf(theirs, service)
	if !isWanted || accepted == wanted {
		return nil
	}
	return &Conflict{Service: service, Theirs: theirs, Yours: wanted, Accepted: accepted}
}

// version returns the wanted form of an entry, and false where the input leaves the entry as it is.
func (in input) version(service string) (string, bool) {
	for _, e := range in.entries {
		if e.Service == service {
			text, _ := e.EncodeYAML()
			return string(text), true
		}
	}
	return "", in.isWhole
}

func touched(c *catalogue.Change) []string {
	var names []string
	for _, e := range c.Entries {
		names = append(names, e.Service)
	}
	return append(names, c.Removed...)
}

// versionOf returns the YAML form of the entry that a change sets, or nothing.
func versionOf(c *catalogue.Change, service string) string {
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
