package keeper

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

// TestMergedChangesEqualSingleSteps checks that the snapshot of an entry is the same whether changes are applied to it one
// by one or merged.
func TestMergedChangesEqualSingleSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := catalogue.Change{Revision: 1, Entries: drawEncoded(t)}
		var changes []*catalogue.Change
		for i := range rapid.IntRange(1, 6).Draw(t, "changes") {
			changes = append(changes, &catalogue.Change{Revision: uint64(i + 2), Entries: drawEncoded(t), Removed: drawNames(t)})
		}
		stepwise, merged := snapshot.NewHolder(), snapshot.NewHolder()
		for _, holder := range []*snapshot.Holder{stepwise, merged} {
			apply(t, holder, []*catalogue.Change{&first})
		}
		for _, c := range changes {
			apply(t, stepwise, []*catalogue.Change{c})
		}
		apply(t, merged, changes)
		got, want := merged.Get(), stepwise.Get()
		if got.Revision != want.Revision {
			t.Fatalf("revision %d, want %d", got.Revision, want.Revision)
		}
		sameOwner := func(a, b *catalogue.Entry) bool { return a.Owner == b.Owner }
		if !maps.EqualFunc(got.Routes.Services(), want.Routes.Services(), sameOwner) {
			t.Fatalf("got %v, want %v", got.Routes.Services(), want.Routes.Services())
		}
	})
}

func apply(t *rapid.T, holder *snapshot.Holder, changes []*catalogue.Change) {
	update := mergeChanges(changes)
	u := snapshot.CatalogueUpdate{Revision: update.GetRevision(), Removed: update.GetRemoved()}
	for _, encoded := range update.GetEntries() {
		e, err := catalogue.DecodeEntry(encoded.GetContent())
		if err != nil {
			t.Fatal(err)
		}
		u.Entries = append(u.Entries, e)
	}
	if !holder.ApplyCatalogue(u) {
		t.Fatalf("revision %d is not adopted", u.Revision)
	}
}

func drawNames(t *rapid.T) []string {
	numbers := rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 3, rapid.ID).Draw(t, "services")
	var names []string
	for _, n := range numbers {
		names = append(names, fmt.Sprintf("service-%d", n))
	}
	return slices.Clone(names)
}

func drawEncoded(t *rapid.T) []catalogue.EncodedEntry {
	var out []catalogue.EncodedEntry
	for _, name := range drawNames(t) {
		e := &catalogue.Entry{Service: name, Owner: rapid.StringMatching("[a-z]{4}").Draw(t, "owner")}
		content, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, catalogue.EncodedEntry{Service: name, Content: content})
	}
	return out
}
