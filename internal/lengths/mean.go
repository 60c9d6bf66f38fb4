package lengths

// Mean is a running mean of lengths. Its unit is that of the lengths added: tokens or events.
type Mean struct {
	// Samples is the number of lengths that the mean stands for, at most maxMeanSamples.
	Samples int
	// Total is their sum.
	Total int
}

// maxMeanSamples bounds the weight of earlier lengths, so that the mean follows lengths that change.
const maxMeanSamples = 256

// Add returns the mean with one more length.
func (m Mean) Add(length int) Mean {
	m.Samples++
	m.Total += length
	if m.Samples > maxMeanSamples {
		m.Total -= m.Total / m.Samples
		m.Samples--
	}
	return m
}

// Value returns the mean, at least 1, or 0 if no length was added.
func (m Mean) Value() int {
	if m.Samples == 0 {
		return 0
	}
	return max(m.Total/m.Samples, 1)
}
