package catalogue

import "slices"

// withoutDefaultMethods returns a copy of the entry in which routes with the default methods have a nil list. The default methods
// would make up a third of the JSON form of a large catalogue. A route without any idempotent method has an empty list.
func (e *Entry) withoutDefaultMethods() *Entry {
	short := *e
	short.Routes = slices.Clone(e.Routes)
	for i := range short.Routes {
		methods := &short.Routes[i].IdempotentMethods
		switch {
		case slices.Equal(*methods, defaultIdempotentMethods):
			*methods = nil
		case len(*methods) == 0:
			*methods = []string{}
		}
	}
	return &short
}

// restoreDefaultMethods reverses withoutDefaultMethods. Routes with the default methods share one list.
func (e *Entry) restoreDefaultMethods() {
	for i := range e.Routes {
		methods := &e.Routes[i].IdempotentMethods
		if *methods == nil || slices.Equal(*methods, defaultIdempotentMethods) {
			*methods = defaultIdempotentMethods
		}
	}
}
