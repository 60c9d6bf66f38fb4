package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of parts in which two tables are compared.
const bucketCount = 64

// digestBytes is the size of one bucket's digest in a syncRequest.
const digestBytes = 4

// row is one fact with its share of the table's digest.
type row[F any] struct {
	key  string
	fact F
	// deadAt is when the subject was found dead, zero while it is not.
	deadAt time.Time
	bucket int
	// contribution is what the row adds to the digests, zero for nothing.
	contribution uint32
}

// table holds the newest fact for each key, sorted by key, with digests that
// two nodes compare. Two tables with the same facts have the same digests,
// whatever the order in which the facts came in.
type table[F any] struct {
	rows    []*row[F]
	index   map[string]*row[F]
	buckets [bucketCount]uint32
	digest  uint32
}

func newTable[F any]() *table[F] { return &table[F]{index: map[string]*row[F]{}} }

// find returns the row of a key, nil when there is none.
func (t *table[F]) find(key string) *row[F] { return t.index[key] }

// insert adds an empty row for a new key.
func (t *table[F]) insert(key string) *row[F] {
	added := &row[F]{key: key, bucket: int(xxhash.Sum64String(key) % bucketCount)}
	at, _ := slices.BinarySearchFunc(t.rows, key, func(r *row[F], key string) int { return cmp.Compare(r.key, key) })
	t.rows = slices.Insert(t.rows, at, added)
	t.index[key] = added
	return added
}

// remove forgets a row.
func (t *table[F]) remove(gone *row[F]) {
	t.contribute(gone, 0)
	delete(t.index, gone.key)
	t.rows = slices.DeleteFunc(t.rows, func(r *row[F]) bool { return r == gone })
}

// contribute replaces what a row adds to the digests.
func (t *table[F]) contribute(changed *row[F], contribution uint32) {
	difference := changed.contribution ^ contribution
	t.buckets[changed.bucket] ^= difference
	t.digest ^= difference
	changed.contribution = contribution
}

// digests returns the digest of each bucket in the form of a syncRequest.
func (t *table[F]) digests() []byte {
	encoded := make([]byte, 0, bucketCount*digestBytes)
	for _, bucket := range t.buckets {
		encoded = binary.LittleEndian.AppendUint32(encoded, bucket)
	}
	return encoded
}

// differing returns the rows in buckets whose digest is not the given one and
// which take part in the digest, bucket by bucket from the first one on. Digests
// of another length give nothing.
func (t *table[F]) differing(digests []byte, first int) []*row[F] {
	if len(digests) != bucketCount*digestBytes {
		return nil
	}
	var parts [bucketCount][]*row[F]
	for _, r := range t.rows {
		if r.contribution == 0 {
			continue
		}
		if binary.LittleEndian.Uint32(digests[r.bucket*digestBytes:]) != t.buckets[r.bucket] {
			parts[r.bucket] = append(parts[r.bucket], r)
		}
	}
	var found []*row[F]
	for i := range bucketCount {
		found = append(found, parts[(first+i)%bucketCount]...)
	}
	return found
}

// contributionOf hashes what makes two facts on one key differ. It is never zero.
func contributionOf(key string, incarnation, sequence uint64, state string) uint32 {
	buffer := make([]byte, 0, 96)
	buffer = append(buffer, key...)
	buffer = append(buffer, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, incarnation)
	buffer = binary.LittleEndian.AppendUint64(buffer, sequence)
	buffer = append(buffer, state...)
	return uint32(xxhash.Sum64(buffer)) | 1
}
