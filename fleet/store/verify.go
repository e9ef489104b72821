package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"

	"github.com/gravitational/trace"
)

// Layout of a bbolt file, version 2; sizes and offsets are in bytes. bbolt itself does not check its pages: a damaged page
// makes it panic or fault on a mapped address. If the newer header is damaged, bbolt falls back to the state before the last
// transaction.
const (
	pageHeader     = 16
	elementSize    = 16
	headerMagic    = 0xED0CDAED
	headerFormat   = 2
	headerSize     = 64
	checksumOffset = 56
	bucketHeader   = 16
	minPage        = 1024
	maxPage        = 1 << 16

	flagBranch   = 0x01
	flagLeaf     = 0x02
	flagFreelist = 0x10
	flagBucket   = 0x01

	noFreelist = ^uint64(0)
	// countInList in a freelist's count field means that the first element of the list is the count.
	countInList = 0xFFFF
	// maxDepth limits the depth of the tree; 2^16 pages of two entries each need 16 levels.
	maxDepth = 32
)

// header contains the fields of a bbolt header page that verify needs.
type header struct {
	// Page size in bytes, and ids of the root page and of the freelist page.
	size     uint64
	root     uint64
	freelist uint64
	// Number of allocated pages, in use or free, and id of the transaction.
	pageCount uint64
	txn       uint64
}

// verifier walks the pages of a bbolt file.
type verifier struct {
	path    string
	content []byte
	header  header
	visited map[uint64]bool
}

// verify checks the headers and each reachable page of a bbolt file. It returns a TruncatedError or a CorruptError.
func verify(path string, content []byte) error {
	v := &verifier{path: path, content: content, visited: map[uint64]bool{0: true, 1: true}}
	if err := v.readHeaders(); err != nil {
		return trace.Wrap(err)
	}
	if err := v.walk(v.header.root, 0); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(v.checkFreelist())
}

// readHeaders reads both headers. One of them may be damaged if it is what a save leaves that was interrupted, and therefore not
// acknowledged, while it wrote that header. Otherwise the valid one alone may lack an acknowledged transaction.
func (v *verifier) readHeaders() error {
	first, firstErr := v.readHeader(0)
	if first.size == 0 {
		return trace.Wrap(firstErr)
	}
	second, secondErr := v.readHeader(first.size)
	switch {
	case firstErr == nil && secondErr == nil:
		if first.size != second.size {
			return trace.Wrap(v.corrupt("the file header", "the two headers disagree on the page size"))
		}
		v.header = first
		if second.txn > first.txn {
			v.header = second
		}
	case firstErr == nil && v.interrupted(first.size, second, first):
		v.header = first
	case secondErr == nil && v.interrupted(0, first, second):
		v.header = second
	default:
		return trace.NewAggregate(firstErr, secondErr)
	}
	if v.header.pageCount > uint64(len(v.content))/v.header.size {
		return trace.Wrap(&TruncatedError{v.path, int64(len(v.content)), int64(v.header.pageCount) * int64(v.header.size)})
	}
	return nil
}

// interrupted reports whether the damaged header at an offset is a mixture of the headers before and after the transaction that
// follows the valid header's. Such a mixture has intact constant fields, and no single changed bit makes up for it.
func (v *verifier) interrupted(at uint64, damaged, valid header) bool {
	if damaged.size != valid.size || !mixture(damaged.txn, valid.txn-1, valid.txn+1) {
		return false
	}
	raw := bytes.Clone(v.content[at+pageHeader:][:headerSize])
	for bit := range headerSize * 8 {
		raw[bit/8] ^= 1 << (bit % 8)
		if validChecksum(raw) {
			return false
		}
		raw[bit/8] ^= 1 << (bit % 8)
	}
	return true
}

// mixture reports whether each byte of a number is that of before or of after.
func mixture(n, before, after uint64) bool {
	for shift := 0; shift < 64; shift += 8 {
		if b := byte(n >> shift); b != byte(before>>shift) && b != byte(after>>shift) {
			return false
		}
	}
	return true
}

// validChecksum reports whether the checksum in the bytes of a header is that of its fields.
func validChecksum(raw []byte) bool {
	sum := fnv.New64a()
	_, _ = sum.Write(raw[:checksumOffset])
	return sum.Sum64() == binary.NativeEndian.Uint64(raw[checksumOffset:])
}

// readHeader reads the header at an offset. With an error, the header is empty unless only the checksum does not match.
func (v *verifier) readHeader(at uint64) (header, error) {
	if uint64(len(v.content)) < at+pageHeader+headerSize {
		return header{}, trace.Wrap(&TruncatedError{v.path, int64(len(v.content)), int64(at) + pageHeader + headerSize})
	}
	raw := v.content[at+pageHeader:][:headerSize]
	h := header{
		size:      uint64(binary.NativeEndian.Uint32(raw[8:])),
		root:      binary.NativeEndian.Uint64(raw[16:]),
		freelist:  binary.NativeEndian.Uint64(raw[32:]),
		pageCount: binary.NativeEndian.Uint64(raw[40:]),
		txn:       binary.NativeEndian.Uint64(raw[48:]),
	}
	switch {
	case binary.NativeEndian.Uint32(raw) != headerMagic || binary.NativeEndian.Uint32(raw[4:]) != headerFormat:
		return header{}, trace.Wrap(v.corrupt("the file header", "it is not that of a bbolt file"))
	case h.size < minPage || h.size > maxPage:
		return header{}, trace.Wrap(v.corrupt("the file header", "the page size is out of range"))
	case !validChecksum(raw):
		return h, trace.Wrap(v.corrupt("the file header", "the checksum does not match"))
	case h.pageCount > 1<<40:
		return header{}, trace.Wrap(v.corrupt("the file header", "the end of the pages is out of range"))
	}
	return h, nil
}

// claimPage returns a page with its overflow pages and marks them as visited. A page that is already visited is an error.
func (v *verifier) claimPage(id uint64) ([]byte, error) {
	if id < 2 || id >= v.header.pageCount {
		return nil, trace.Wrap(v.corrupt(pageName(id), "it lies outside the file"))
	}
	raw := v.content[id*v.header.size:]
	overflow := uint64(binary.NativeEndian.Uint32(raw[12:]))
	if binary.NativeEndian.Uint64(raw) != id || overflow >= v.header.pageCount-id {
		return nil, trace.Wrap(v.corrupt(pageName(id), "its header does not match its place"))
	}
	for p := id; p <= id+overflow; p++ {
		if v.visited[p] {
			return nil, trace.Wrap(v.corrupt(pageName(p), "it is used twice"))
		}
		v.visited[p] = true
	}
	return raw[:(overflow+1)*v.header.size], nil
}

func (v *verifier) walk(id uint64, depth int) error {
	page, err := v.claimPage(id)
	if err != nil {
		return trace.Wrap(err)
	}
	if depth > maxDepth {
		return trace.Wrap(v.corrupt(pageName(id), "the tree is too deep"))
	}
	return trace.Wrap(v.walkPage(id, page, depth))
}

func (v *verifier) walkPage(id uint64, page []byte, depth int) error {
	count := int(binary.NativeEndian.Uint16(page[10:]))
	if pageHeader+count*elementSize > len(page) {
		return trace.Wrap(v.corrupt(pageName(id), "its elements exceed the page"))
	}
	switch binary.NativeEndian.Uint16(page[8:]) {
	case flagBranch:
		return v.walkBranch(id, page, count, depth)
	case flagLeaf:
		return v.walkLeaf(id, page, count, depth)
	default:
		return trace.Wrap(v.corrupt(pageName(id), "it is neither a branch nor a leaf"))
	}
}

func (v *verifier) walkBranch(id uint64, page []byte, count, depth int) error {
	if count == 0 {
		return trace.Wrap(v.corrupt(pageName(id), "it has no children"))
	}
	var last []byte
	for i := range count {
		at := pageHeader + i*elementSize
		key, ok := slice(page, at, binary.NativeEndian.Uint32(page[at:]), binary.NativeEndian.Uint32(page[at+4:]))
		if !ok || i > 0 && bytes.Compare(last, key) >= 0 {
			return trace.Wrap(v.corrupt(pageName(id), "its keys are out of bounds or order"))
		}
		last = key
		if err := v.walk(binary.NativeEndian.Uint64(page[at+8:]), depth+1); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (v *verifier) walkLeaf(id uint64, page []byte, count, depth int) error {
	var last []byte
	for i := range count {
		at := pageHeader + i*elementSize
		raw := page[at:][:elementSize]
		size := binary.NativeEndian.Uint32(raw[8:])
		key, ok := slice(page, at, binary.NativeEndian.Uint32(raw[4:]), size)
		if !ok || i > 0 && bytes.Compare(last, key) >= 0 {
			return trace.Wrap(v.corrupt(pageName(id), "its keys are out of bounds or order"))
		}
		last = key
		value, ok := slice(page, at+int(size), binary.NativeEndian.Uint32(raw[4:]), binary.NativeEndian.Uint32(raw[12:]))
		if !ok {
			return trace.Wrap(v.corrupt(pageName(id), "a value exceeds the page"))
		}
		if binary.NativeEndian.Uint32(raw)&flagBucket == 0 {
			continue
		}
		if err := v.walkBucket(id, value, depth); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// walkBucket walks from the root page of a bucket, or walks the inline page in the value of a small bucket.
func (v *verifier) walkBucket(id uint64, value []byte, depth int) error {
	if len(value) < bucketHeader {
		return trace.Wrap(v.corrupt(pageName(id), "a bucket is too short for its header"))
	}
	if root := binary.NativeEndian.Uint64(value); root != 0 {
		return trace.Wrap(v.walk(root, depth+1))
	}
	page := value[bucketHeader:]
	if len(page) < pageHeader || depth > maxDepth || binary.NativeEndian.Uint16(page[8:]) != flagLeaf {
		return trace.Wrap(v.corrupt(pageName(id), "an inline bucket in it is not a valid leaf"))
	}
	return trace.Wrap(v.walkPage(id, page, depth+1))
}

// checkFreelist checks that no page in the freelist is in use, since bbolt would overwrite it.
func (v *verifier) checkFreelist() error {
	id := v.header.freelist
	if id == noFreelist {
		return nil
	}
	page, err := v.claimPage(id)
	if err != nil {
		return trace.Wrap(err)
	}
	count, list := uint64(binary.NativeEndian.Uint16(page[10:])), page[pageHeader:]
	if count == countInList && len(list) >= 8 {
		count, list = binary.NativeEndian.Uint64(list), list[8:]
	}
	if binary.NativeEndian.Uint16(page[8:]) != flagFreelist || count > uint64(len(list))/8 {
		return trace.Wrap(v.corrupt(pageName(id), "it is not a valid freelist"))
	}
	for i := range count {
		free := binary.NativeEndian.Uint64(list[i*8:])
		if free < 2 || free >= v.header.pageCount || v.visited[free] {
			return trace.Wrap(v.corrupt(pageName(id), "it lists a page that is in use"))
		}
		v.visited[free] = true
	}
	return nil
}

// slice returns size bytes at offset from the element that starts at at, or false if they exceed the page.
func slice(page []byte, at int, offset, size uint32) ([]byte, bool) {
	start := uint64(at) + uint64(offset)
	if start+uint64(size) > uint64(len(page)) {
		return nil, false
	}
	return page[start:][:size], true
}

func pageName(id uint64) string {
	return fmt.Sprintf("page %d", id)
}

func (v *verifier) corrupt(part, reason string) error {
	return &CorruptError{Path: v.path, Part: part, Reason: reason}
}
