// Package duty defines what is common to the calls that the holder of the lease makes to external
// services: the term under which it may call, and the error for a call that a later holder has
// fenced off.
package duty

import "errors"

// Term is this process's term as holder of the lease.
type Term struct {
	// Epoch is the fencing token of the calls; it rises with every holder.
	Epoch int64
	// Active is true while calls may be made under the epoch.
	Active bool
}

// Permits reports whether calls may be made under an epoch now.
func (t Term) Permits(epoch int64) bool { return t.Active && t.Epoch == epoch }

// ErrFenced means that a call was refused because a later holder of the lease has made one.
var ErrFenced = errors.New("fenced off by a later holder of the lease")
