package bytebudget

import (
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against one caller using the whole budget, and against bytes that stay reserved after their request.
func TestCallerUsesAtMostItsPart(t *testing.T) {
	b := New(100)
	first, second, third := reserveCounted(t, b, "a"), reserveCounted(t, b, "a"), reserveCounted(t, b, "b")
	if !first.Grow(30) || second.Grow(30) || !second.Grow(20) {
		t.Error("a caller does not use exactly its half")
	}
	if !third.Grow(50) || third.Grow(1) || b.Used() != 100 {
		t.Error("another caller does not use the other half")
	}
	first.Release()
	first.Release()
	if b.Used() != 70 || !second.Grow(30) {
		t.Errorf("%d bytes are used after a release", b.Used())
	}
	if first.Grow(0) {
		t.Error("a released reservation grows")
	}
	second.Release()
	third.Release()
	if b.Used() != 0 || len(b.callers) != 0 {
		t.Errorf("%d bytes are used at the end, by %d callers", b.Used(), len(b.callers))
	}
}

// Guards against fleets without tenants getting half of the budget: their requests have no caller's name.
func TestRequestsWithoutCallerUseTheWholeBudget(t *testing.T) {
	if r := reserveCounted(t, New(100), ""); !r.Grow(100) || r.Grow(1) {
		t.Error("the whole budget is not used")
	}
}

// reserveCounted returns a reservation whose free bytes are used up.
func reserveCounted(t *testing.T, b *Budget, caller string) *Reservation {
	t.Helper()
	r := b.Reserve(caller)
	if !r.Grow(FreeBytes) {
		t.Fatal("the free bytes are refused")
	}
	return r
}

// Guards against small requests being refused because large ones use the budget up.
func TestSmallRequestsFitAnExhaustedBudget(t *testing.T) {
	b := New(100)
	if !reserveCounted(t, b, "a").Grow(50) || !reserveCounted(t, b, "b").Grow(50) {
		t.Fatal("the budget is not used up")
	}
	small := b.Reserve("a")
	if !small.Grow(FreeBytes-1) || !small.Grow(1) || small.Grow(1) {
		t.Error("a small request does not get exactly its free bytes")
	}
	small.Release()
	if b.Used() != 100 {
		t.Errorf("%d bytes are used", b.Used())
	}
}

func TestReadAll(t *testing.T) {
	failure := errors.New("broken")
	const unlimited = math.MaxInt64 >> 1
	cases := []struct {
		name                string
		budget, size, limit int64
		source              io.Reader
		length              int
		ended               bool
		err                 error
	}{
		{"of known size", 101, 100, 1000, strings.NewReader(strings.Repeat("x", 100)), 100, true, nil},
		{"of unknown size", 1 << 20, -1, unlimited, strings.NewReader(strings.Repeat("x", 100_000)), 100_000, true, nil},
		{"empty", 1 << 20, 0, 1000, strings.NewReader(""), 0, true, nil},
		{"more than stated", 1 << 20, 10, unlimited, strings.NewReader(strings.Repeat("x", 100_000)), 100_000, true, nil},
		{"as long as the limit", 1 << 20, 1000, 1000, strings.NewReader(strings.Repeat("x", 1000)), 1000, false, nil},
		{"longer than the limit", 1 << 20, -1, 10_000, strings.NewReader(strings.Repeat("x", 20_000)), 10_000, false, nil},
		{"longer than the budget", minGrowBytes, -1, unlimited, strings.NewReader(strings.Repeat("x", 20_000)), minGrowBytes, false, nil},
		{"without any budget", 10, 1000, 1000, strings.NewReader(strings.Repeat("x", 1000)), 0, false, nil},
		{"broken off", 1 << 20, 1000, 10_000, io.MultiReader(strings.NewReader("xyz"), iotest.ErrReader(failure)), 3, false, failure},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New(c.budget)
			r := reserveCounted(t, b, "")
			data, ended, err := r.ReadAll(iotest.HalfReader(c.source), c.size, c.limit)
			if len(data) != c.length || ended != c.ended || !errors.Is(err, c.err) {
				t.Errorf("%d bytes, ended: %v, %v", len(data), ended, err)
			}
			if int64(cap(data)) > b.Used() || b.Used() > c.budget {
				t.Errorf("a buffer of %d bytes, %d reserved of %d", cap(data), b.Used(), c.budget)
			}
		})
	}
	var none *Reservation
	if data, ended, err := none.ReadAll(strings.NewReader("xyz"), -1, unlimited); string(data) != "xyz" || !ended || err != nil {
		t.Errorf("without a budget: %q, %v, %v", data, ended, err)
	}
}
