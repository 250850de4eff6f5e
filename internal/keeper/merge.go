package keeper

import (
	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
)

// mergeChanges returns a single update with the same effect as the changes applied in order.
func mergeChanges(changes []*catalogue.Change) *pb.CatalogueUpdate {
	entries := map[string]catalogue.EncodedEntry{}
	removed := map[string]bool{}
	update := &pb.CatalogueUpdate{}
	for _, c := range changes {
		for _, name := range c.Removed {
			delete(entries, name)
			removed[name] = true
		}
		for _, e := range c.Entries {
			delete(removed, e.Service)
			entries[e.Service] = e
		}
		update.Revision, update.OperationId = c.Revision, c.OperationID
	}
	for _, e := range entries {
		update.Entries = append(update.Entries, keeperpeer.EntriesToProto([]catalogue.EncodedEntry{e})...)
	}
	for name := range removed {
		update.Removed = append(update.Removed, name)
	}
	return update
}
