package stricthttp

// Kind says what is wrong with a response.
type Kind string

const (
	// KindReset is the kind of a response without a stated length whose connection broke before its end.
	KindReset Kind = "reset"
	// KindStatusLine is the kind of a response whose first line is none, or has a status that no final response has.
	KindStatusLine Kind = "status line"
	// KindField is the kind of a response with a field that is none, in its head or after its body.
	KindField Kind = "field"
	// KindFraming is the kind of a response whose head does not tell where the body ends.
	KindFraming Kind = "framing"
)

// BrokenResponseError means that the bytes of a peer are not a whole response in the protocol. The peer may have
// executed the request.
type BrokenResponseError struct {
	Kind Kind
	// Detail describes what was received. It may quote some bytes of the peer.
	Detail string
}

// Error implements error.
func (e *BrokenResponseError) Error() string {
	return "broken response (" + string(e.Kind) + "): " + e.Detail
}
