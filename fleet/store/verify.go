package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"

	"github.com/gravitational/trace"
)

// Layout of a bbolt file, version 2. bbolt itself trusts its pages: a damaged one makes it panic or fault on a mapped
// address, and a damaged newer header makes it fall back to the state before the last transaction.
const (
	pageHeader   = 16
	elementSize  = 16
	headerMagic  = 0xED0CDAED
	headerFormat = 2
	headerSize   = 64
	headerSum    = 56
	bucketHeader = 16
	minPage      = 1024
	maxPage      = 1 << 16

	flagBranch   = 0x01
	flagLeaf     = 0x02
	flagFreelist = 0x10
	flagBucket   = 0x01

	noFreelist = ^uint64(0)
	// longList in a freelist's count field says that its first element holds the count.
	longList = 0xFFFF
	// maxDepth bounds the tree; 2^16 pages of two entries each need 16 levels.
	maxDepth = 32
)

// header is the part of a bbolt header page that verify needs.
type header struct {
	size     uint64
	root     uint64
	freelist uint64
	// End of the used pages, and number of the transaction.
	end uint64
	txn uint64
}

// verifier walks the pages of a bbolt file.
type verifier struct {
	path    string
	content []byte
	header  header
	seen    map[uint64]bool
}

// verify checks both headers and each reachable page of a bbolt file. It returns a TruncatedError or a CorruptError.
func verify(path string, content []byte) error {
	v := &verifier{path: path, content: content, seen: map[uint64]bool{0: true, 1: true}}
	if err := v.readHeaders(); err != nil {
		return trace.Wrap(err)
	}
	if err := v.walk(v.header.root, 0); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(v.checkFreelist())
}

// readHeaders requires both headers to be valid: the older one alone could hide an acknowledged transaction.
func (v *verifier) readHeaders() error {
	first, err := v.readHeader(0)
	if err != nil {
		return trace.Wrap(err)
	}
	second, err := v.readHeader(first.size)
	if err != nil {
		return trace.Wrap(err)
	}
	if first.size != second.size {
		return trace.Wrap(v.corrupt("the file header", "the two headers disagree on the page size"))
	}
	v.header = first
	if second.txn > first.txn {
		v.header = second
	}
	if v.header.end > uint64(len(v.content))/v.header.size {
		return trace.Wrap(&TruncatedError{v.path, int64(len(v.content)), int64(v.header.end) * int64(v.header.size)})
	}
	return nil
}

func (v *verifier) readHeader(at uint64) (header, error) {
	if uint64(len(v.content)) < at+pageHeader+headerSize {
		return header{}, trace.Wrap(&TruncatedError{v.path, int64(len(v.content)), int64(at) + pageHeader + headerSize})
	}
	raw := v.content[at+pageHeader:][:headerSize]
	sum := fnv.New64a()
	_, _ = sum.Write(raw[:headerSum])
	h := header{
		size:     uint64(binary.NativeEndian.Uint32(raw[8:])),
		root:     binary.NativeEndian.Uint64(raw[16:]),
		freelist: binary.NativeEndian.Uint64(raw[32:]),
		end:      binary.NativeEndian.Uint64(raw[40:]),
		txn:      binary.NativeEndian.Uint64(raw[48:]),
	}
	switch {
	case sum.Sum64() != binary.NativeEndian.Uint64(raw[headerSum:]):
		return header{}, trace.Wrap(v.corrupt("the file header", "the checksum does not match"))
	case binary.NativeEndian.Uint32(raw) != headerMagic || binary.NativeEndian.Uint32(raw[4:]) != headerFormat:
		return header{}, trace.Wrap(v.corrupt("the file header", "it is not that of a bbolt file"))
	case h.size < minPage || h.size > maxPage:
		return header{}, trace.Wrap(v.corrupt("the file header", "the page size is out of range"))
	case h.end > 1<<40:
		return header{}, trace.Wrap(v.corrupt("the file header", "the end of the pages is out of range"))
	}
	return h, nil
}

// page returns a page with its overflow pages, which no other page may share.
func (v *verifier) page(id uint64) ([]byte, error) {
	if id < 2 || id >= v.header.end {
		return nil, trace.Wrap(v.corrupt(part(id), "it lies outside the file"))
	}
	raw := v.content[id*v.header.size:]
	overflow := uint64(binary.NativeEndian.Uint32(raw[12:]))
	if binary.NativeEndian.Uint64(raw) != id || overflow >= v.header.end-id {
		return nil, trace.Wrap(v.corrupt(part(id), "its header does not match its place"))
	}
	for p := id; p <= id+overflow; p++ {
		if v.seen[p] {
			return nil, trace.Wrap(v.corrupt(part(p), "it is used twice"))
		}
		v.seen[p] = true
	}
	return raw[:(overflow+1)*v.header.size], nil
}

func (v *verifier) walk(id uint64, depth int) error {
	page, err := v.page(id)
	if err != nil {
		return trace.Wrap(err)
	}
	if depth > maxDepth {
		return trace.Wrap(v.corrupt(part(id), "the tree is too deep"))
	}
	return trace.Wrap(v.walkPage(id, page, depth))
}

func (v *verifier) walkPage(id uint64, page []byte, depth int) error {
	count := int(binary.NativeEndian.Uint16(page[10:]))
	if pageHeader+count*elementSize > len(page) {
		return trace.Wrap(v.corrupt(part(id), "its elements exceed it"))
	}
	switch binary.NativeEndian.Uint16(page[8:]) {
	case flagBranch:
		return v.walkBranch(id, page, count, depth)
	case flagLeaf:
		return v.walkLeaf(id, page, count, depth)
	default:
		return trace.Wrap(v.corrupt(part(id), "it is neither a branch nor a leaf"))
	}
}

func (v *verifier) walkBranch(id uint64, page []byte, count, depth int) error {
	if count == 0 {
		return trace.Wrap(v.corrupt(part(id), "it has no children"))
	}
	var last []byte
	for i := range count {
		at := pageHeader + i*elementSize
		key, ok := slice(page, at, binary.NativeEndian.Uint32(page[at:]), binary.NativeEndian.Uint32(page[at+4:]))
		if !ok || i > 0 && bytes.Compare(last, key) >= 0 {
			return trace.Wrap(v.corrupt(part(id), "its keys are out of bounds or order"))
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
			return trace.Wrap(v.corrupt(part(id), "its keys are out of bounds or order"))
		}
		last = key
		value, ok := slice(page, at+int(size), binary.NativeEndian.Uint32(raw[4:]), binary.NativeEndian.Uint32(raw[12:]))
		if !ok {
			return trace.Wrap(v.corrupt(part(id), "a value exceeds it"))
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

// walkBucket follows a bucket to its root page, or reads the page within the value of a small one.
func (v *verifier) walkBucket(id uint64, value []byte, depth int) error {
	if len(value) < bucketHeader {
		return trace.Wrap(v.corrupt(part(id), "a bucket exceeds its value"))
	}
	if root := binary.NativeEndian.Uint64(value); root != 0 {
		return trace.Wrap(v.walk(root, depth+1))
	}
	page := value[bucketHeader:]
	if len(page) < pageHeader || depth > maxDepth || binary.NativeEndian.Uint16(page[8:]) != flagLeaf {
		return trace.Wrap(v.corrupt(part(id), "a bucket within it is no leaf"))
	}
	return trace.Wrap(v.walkPage(id, page, depth+1))
}

// checkFreelist requires that no free page is in use, since bbolt would overwrite it.
func (v *verifier) checkFreelist() error {
	id := v.header.freelist
	if id == noFreelist {
		return nil
	}
	page, err := v.page(id)
	if err != nil {
		return trace.Wrap(err)
	}
	count, list := uint64(binary.NativeEndian.Uint16(page[10:])), page[pageHeader:]
	if count == longList && len(list) >= 8 {
		count, list = binary.NativeEndian.Uint64(list), list[8:]
	}
	if binary.NativeEndian.Uint16(page[8:]) != flagFreelist || count > uint64(len(list))/8 {
		return trace.Wrap(v.corrupt(part(id), "it is no list of free pages"))
	}
	for i := range count {
		free := binary.NativeEndian.Uint64(list[i*8:])
		if free < 2 || free >= v.header.end || v.seen[free] {
			return trace.Wrap(v.corrupt(part(id), "it lists a page that is in use"))
		}
		v.seen[free] = true
	}
	return nil
}

// slice returns size bytes at offset from an element.
func slice(page []byte, at int, offset, size uint32) ([]byte, bool) {
	start := uint64(at) + uint64(offset)
	if start+uint64(size) > uint64(len(page)) {
		return nil, false
	}
	return page[start:][:size], true
}

func part(id uint64) string {
	return fmt.Sprintf("page %d", id)
}

func (v *verifier) corrupt(part, reason string) error {
	return &CorruptError{Path: v.path, Part: part, Reason: reason}
}
