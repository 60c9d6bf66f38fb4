package logs

import "go.uber.org/zap"

// MaxQuotedErrorBytes bounds the text of an error that may quote what other processes have written.
const MaxQuotedErrorBytes = 300

// QuotedError is zap.Error for an error that may quote what other processes have written: only its first
// MaxQuotedErrorBytes are logged.
func QuotedError(err error) zap.Field {
	text := err.Error()
	return zap.String("error", text[:min(len(text), MaxQuotedErrorBytes)])
}
