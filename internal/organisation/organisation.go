// Package organisation maps the keys that callers send to the organisations that they belong to.
//
// A Directory is immutable and belongs to one version of the configuration. It holds digests of keys and never the keys themselves,
// so that no log, metric or memory dump of an organisation reveals one.
package organisation

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"

	"golang.org/x/net/http/httpguts"
)

// Digest identifies a key without holding it.
type Digest [16]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:len(Digest{})])
}

// String returns the first digits of the digest, by which operators tell keys apart.
func (d Digest) String() string { return hex.EncodeToString(d[:4]) }

// Organisation is a customer of the services. Its callers identify themselves with one of its keys.
type Organisation struct {
	Name string
	Keys []Digest
	// HasPriority is set if Priority replaces the priority of the route.
	HasPriority bool
	// Priority is the rank of the organisation's requests; 0 is the highest.
	Priority int
	// PerSecond is the number of requests a second that the whole fleet accepts from the organisation, 0 if there is no limit.
	PerSecond float64
	// Burst is the number of requests that the fleet accepts at once, in addition to PerSecond.
	Burst float64
}

// IsLimited reports whether the organisation has an allowance.
func (o *Organisation) IsLimited() bool { return o.PerSecond > 0 }

// maxNameBytes is the length of names that VMs can tell each other in a datagram.
const maxNameBytes = 255

func (o *Organisation) check() error {
	isCount := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	switch {
	case o.Name == "":
		return errors.New("the name is missing")
	case len(o.Name) > maxNameBytes:
		return fmt.Errorf("the name has more than %d bytes", maxNameBytes)
	case !httpguts.ValidHeaderFieldValue(o.Name):
		return errors.New("the name cannot be sent in a header")
	case o.Priority < 0:
		return fmt.Errorf("the priority %d is negative", o.Priority)
	case !isCount(o.PerSecond):
		return fmt.Errorf("%g requests a second is no valid allowance", o.PerSecond)
	case !isCount(o.Burst):
		return fmt.Errorf("%g requests is no valid burst", o.Burst)
	}
	return nil
}

// Directory holds the organisations of one version of the configuration.
type Directory struct {
	all    []Organisation
	byKey  map[Digest]int32
	byName map[string]int32
	// isAnyLimited is set if any organisation has an allowance.
	isAnyLimited bool
}

// NewDirectory returns the directory of the given organisations. Its error names the first invalid one.
func NewDirectory(all []Organisation) (*Directory, error) {
	d := &Directory{all: all, byKey: make(map[Digest]int32, len(all)), byName: make(map[string]int32, len(all))}
	for i := range all {
		o := &all[i]
		if err := o.check(); err != nil {
			return nil, fmt.Errorf("organisation %q: %w", o.Name, err)
		}
		if _, exists := d.byName[o.Name]; exists {
			return nil, fmt.Errorf("organisation %q exists twice", o.Name)
		}
		d.byName[o.Name] = int32(i)
		d.isAnyLimited = d.isAnyLimited || o.IsLimited()
		for _, key := range o.Keys {
			if owner, exists := d.byKey[key]; exists {
				return nil, fmt.Errorf("organisations %q and %q have the same key %v", all[owner].Name, o.Name, key)
			}
			d.byKey[key] = int32(i)
		}
	}
	return d, nil
}

// FindByKey returns the organisation that holds a key, or nil.
func (d *Directory) FindByKey(key string) *Organisation {
	if i, found := d.byKey[DigestOf(key)]; found {
		return &d.all[i]
	}
	return nil
}

// FindByName returns the organisation with a name, or nil.
func (d *Directory) FindByName(name string) *Organisation {
	if i, found := d.byName[name]; found {
		return &d.all[i]
	}
	return nil
}

// All returns the organisations in the order of the configuration. They must not be changed.
func (d *Directory) All() []Organisation { return d.all }

// Len returns the number of organisations.
func (d *Directory) Len() int { return len(d.all) }

// IsAnyLimited reports whether any organisation has an allowance.
func (d *Directory) IsAnyLimited() bool { return d.isAnyLimited }

// Verdict says whether a request lies within the allowance of its organisation.
type Verdict int

// Verdicts.
const (
	// Within means that the request has been taken from the allowance.
	Within Verdict = iota
	// Exceeded means that nothing of the allowance is left.
	Exceeded
	// Unconfirmed means that no VM that knows the requests of the fleet could be asked.
	Unconfirmed
)
