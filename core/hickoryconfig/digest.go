package hickoryconfig

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"hickoryworks/schema/hickoryid"
)

// DigestBuckets is the number of buckets into which section headers are divided.
// When one section changes, only the headers of its bucket are sent.
const DigestBuckets = 64

// Digest holds one hash for each bucket of headers, by which two instances find
// out whether they have the same headers. The hash of a bucket does not depend on
// the order in which its headers were added.
type Digest [DigestBuckets]uint32

func bucketOf(team hickoryid.TeamName) int {
	return int(xxhash.Sum64String(string(team)) % DigestBuckets)
}

// toggle adds a header, or removes a header that is in the digest.
func (d *Digest) toggle(team hickoryid.TeamName, version hickoryid.SectionVersion) {
	data := binary.BigEndian.AppendUint64([]byte(team), uint64(version))
	d[bucketOf(team)] ^= uint32(xxhash.Sum64(data))
}

// Root returns the hash of all buckets.
func (d *Digest) Root() string {
	var data []byte
	for _, bucket := range d {
		data = binary.BigEndian.AppendUint32(data, bucket)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}

// Texts returns the hash of each bucket in hexadecimal, as messages carry it.
func (d *Digest) Texts() []string {
	texts := make([]string, 0, len(d))
	for _, bucket := range d {
		texts = append(texts, fmt.Sprintf("%08x", bucket))
	}
	return texts
}

// differing returns the buckets whose hashes differ from those of a message. All
// of them differ when the message has another number of buckets.
func (d *Digest) differing(texts []string) [DigestBuckets]bool {
	var result [DigestBuckets]bool
	for i, own := range d.Texts() {
		result[i] = len(texts) != len(d) || texts[i] != own
	}
	return result
}
