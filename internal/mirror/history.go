package mirror

import (
	"cmp"
	"slices"
)

// maxSpans limits the spans of a history. A copy that drops one serves a full copy instead of changes from there on.
const maxSpans = 8

// Span is a range of revisions, both ends included, whose keys a copy all knows: every key that existed at one of these revisions
// has an entry, if only as deleted. The changes since a revision of a span are therefore complete.
type Span struct{ From, To uint64 }

// history holds the spans of a copy, in ascending order and apart from each other. A full read of the store adds nothing to it: it
// does not show which keys have been deleted before, nor those that were deleted while it went on.
type history []Span

// add adds spans and joins those that overlap.
func (h *history) add(spans ...Span) {
	all := append(slices.Clone(*h), spans...)
	slices.SortFunc(all, func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	joined := all[:0]
	for _, s := range all {
		if n := len(joined); n > 0 && s.From <= joined[n-1].To {
			joined[n-1].To = max(joined[n-1].To, s.To)
			continue
		}
		joined = append(joined, s)
	}
	*h = joined[max(0, len(joined)-maxSpans):]
}

// covers reports whether the changes since a revision are complete.
func (h history) covers(revision uint64) bool {
	return slices.ContainsFunc(h, func(s Span) bool { return s.From <= revision && revision <= s.To })
}
