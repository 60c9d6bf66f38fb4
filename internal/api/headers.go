package api

// Headers of the interface.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRepeatable     = "Dalehook-Repeatable"
	headerDeadline       = "Dalehook-Deadline-Ms"
	headerReplayed       = "Dalehook-Replayed"
)
