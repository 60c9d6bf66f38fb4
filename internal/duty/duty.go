// Package duty has what all work shares that the holder of the lease does at a service outside:
// under which epoch it may act, and what it is told once a later holder has acted.
package duty

import "errors"

// Term is this process's hold of the lease.
type Term struct {
	// Epoch fences what is done: it rises with every holder.
	Epoch int64
	// Acting says that calls may be made under the epoch now.
	Acting bool
}

// Covers says whether calls may be made under an epoch now.
func (t Term) Covers(epoch int64) bool { return t.Acting && t.Epoch == epoch }

// ErrFenced says that a call was refused since a later holder of the lease has made one.
var ErrFenced = errors.New("a later holder of the lease has acted")
