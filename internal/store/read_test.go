package store_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

var partition = store.Partition{Topic: store.TopicJobs}

// pagedLog returns one record per read. With overstatesEnd set, it reports an end beyond the last
// record.
type pagedLog struct {
	*storetest.Memory
	overstatesEnd bool
	reads         int
}

func (p *pagedLog) Read(ctx context.Context, at store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	p.reads++
	read, err := p.Memory.Read(ctx, at, from, wait)
	if err == nil && len(read.Records) > 1 {
		read.Records, read.Next = read.Records[:1], from+1
	}
	if p.overstatesEnd {
		read.End++
	}
	return read, err
}

func newPagedLog(t *testing.T, texts ...string) *pagedLog {
	t.Helper()
	log := &pagedLog{Memory: storetest.NewMemory()}
	for _, text := range texts {
		if _, err := log.Append(context.Background(), partition, [][]byte{[]byte(text)}); err != nil {
			t.Fatal(err)
		}
	}
	return log
}

func scanTexts(log store.Log, from int64, stopAt string) (texts string, ended bool, err error) {
	ended, err = store.Scan(context.Background(), log, partition, from, func(read store.Batch) bool {
		for _, record := range read.Records {
			texts += string(record.Value)
		}
		return stopAt == "" || texts != stopAt
	})
	return texts, ended, err
}

func TestScan(t *testing.T) {
	log := newPagedLog(t, "a", "b", "c", "d")
	cases := []struct {
		name   string
		from   int64
		stopAt string
		want   string
		ended  bool
	}{
		{"to the end", 0, "", "abcd", true},
		{"from the middle", 2, "", "cd", true},
		{"until visit returns false", 0, "ab", "ab", false},
		{"from the end", 4, "", "", true},
	}
	for _, c := range cases {
		if texts, ended, err := scanTexts(log, c.from, c.stopAt); texts != c.want || ended != c.ended || err != nil {
			t.Errorf("%s: %q, ended %v, %v", c.name, texts, ended, err)
		}
	}
	if err := log.Trim(context.Background(), partition, 1); err != nil {
		t.Fatal(err)
	}
	if texts, ended, err := scanTexts(log, 0, ""); texts != "bcd" || !ended || err != nil {
		t.Errorf("a trimmed partition: %q, ended %v, %v", texts, ended, err)
	}
	log.SetFault(storetest.FaultRefuse)
	if _, _, err := scanTexts(log, 1, ""); !errors.Is(err, store.ErrRefused) {
		t.Errorf("error %v", err)
	}
}

func TestScanStopsAtEmptyRead(t *testing.T) {
	log := newPagedLog(t, "a")
	log.overstatesEnd = true
	if texts, ended, err := scanTexts(log, 0, ""); texts != "a" || ended || err != nil {
		t.Errorf("%q, ended %v, %v", texts, ended, err)
	}
	if log.reads != 2 {
		t.Errorf("%d reads", log.reads)
	}
}
