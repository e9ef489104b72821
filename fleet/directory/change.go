package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
)

// Digest identifies the content of a directory whose lists are sorted. It returns an error if the directory can't be serialized.
func Digest(d *fleetpb.Directory) (uint64, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(raw), nil
}

// Sort sorts the lists of a directory by the names of their entries, so that equal directories have equal digests.
func Sort(d *fleetpb.Directory) {
	sortBy(d.Upstreams, upstreamKey)
	sortBy(d.Primaries, primaryKey)
	sortBy(d.Hosts, hostKey)
	slices.Sort(d.Evacuated)
}

// Diff returns the change from one directory to another. Both are sorted.
func Diff(from, to *fleetpb.Directory) *fleetpb.DirectoryChange {
	change := &fleetpb.DirectoryChange{}
	change.Upstreams, change.RemovedUpstreams = diffLists(from.GetUpstreams(), to.GetUpstreams(), upstreamKey)
	change.Primaries, change.RemovedPrimaries = diffLists(from.GetPrimaries(), to.GetPrimaries(), primaryKey)
	change.Hosts, change.RemovedHosts = diffLists(from.GetHosts(), to.GetHosts(), hostKey)
	if !slices.Equal(from.GetEvacuated(), to.GetEvacuated()) {
		change.Evacuated = &fleetpb.Evacuated{Zones: to.GetEvacuated()}
	}
	return change
}

// Apply returns the directory that results from a change; from is not changed.
func Apply(from *fleetpb.Directory, change *fleetpb.DirectoryChange) *fleetpb.Directory {
	to := &fleetpb.Directory{
		Upstreams: applyList(from.GetUpstreams(), change.GetUpstreams(), change.GetRemovedUpstreams(), upstreamKey),
		Primaries: applyList(from.GetPrimaries(), change.GetPrimaries(), change.GetRemovedPrimaries(), primaryKey),
		Hosts:     applyList(from.GetHosts(), change.GetHosts(), change.GetRemovedHosts(), hostKey),
		Evacuated: from.GetEvacuated(),
	}
	if change.GetEvacuated() != nil {
		to.Evacuated = change.GetEvacuated().GetZones()
	}
	return to
}

func upstreamKey(a *fleetpb.Announcement) string { return a.GetUpstream() }

func primaryKey(p *fleetpb.PrimaryView) string { return p.GetService() }

func hostKey(h *fleetpb.EntryHost) string { return h.GetHost() }

func sortBy[T any](list []T, key func(T) string) {
	slices.SortFunc(list, func(x, y T) int { return cmp.Compare(key(x), key(y)) })
}

// diffLists returns the entries that are new or different in to, and the keys of those that it lacks.
func diffLists[T proto.Message](from, to []T, key func(T) string) (changed []T, removed []string) {
	before := make(map[string]T, len(from))
	for _, entry := range from {
		before[key(entry)] = entry
	}
	for _, entry := range to {
		if old, found := before[key(entry)]; !found || !proto.Equal(old, entry) {
			changed = append(changed, entry)
		}
		delete(before, key(entry))
	}
	for name := range before {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}

func applyList[T proto.Message](from, changed []T, removed []string, key func(T) string) []T {
	replaced := make(map[string]bool, len(changed)+len(removed))
	for _, entry := range changed {
		replaced[key(entry)] = true
	}
	for _, name := range removed {
		replaced[name] = true
	}
	to := slices.DeleteFunc(slices.Clone(from), func(entry T) bool { return replaced[key(entry)] })
	to = append(to, changed...)
	sortBy(to, key)
	return to
}

// maxVersions is the number of directories that a History keeps. A host that misses more changes gets the whole directory.
const maxVersions = 64

// History keeps the latest directories by their digests. It is not safe for concurrent use.
type History struct {
	versions []version
}

type version struct {
	digest    uint64
	directory *fleetpb.Directory
}

// Add adds a sorted directory, which must not be changed afterwards, and returns its digest.
func (h *History) Add(d *fleetpb.Directory) (uint64, error) {
	digest, err := Digest(d)
	if err != nil {
		return 0, err
	}
	if n := len(h.versions); n > 0 && h.versions[n-1].digest == digest {
		return digest, nil
	}
	if len(h.versions) == maxVersions {
		h.versions = slices.Delete(h.versions, 0, 1)
	}
	h.versions = append(h.versions, version{digest, d})
	return digest, nil
}

// Update returns the digest of the latest directory, and what a host needs that has the directory with another digest: the change,
// or the whole directory if that one is not kept. Both are nil if the host has the latest one or there is none.
func (h *History) Update(digest uint64) (latest uint64, whole *fleetpb.Directory, change *fleetpb.DirectoryChange) {
	if len(h.versions) == 0 {
		return 0, nil, nil
	}
	last := h.versions[len(h.versions)-1]
	if last.digest == digest {
		return digest, nil, nil
	}
	for _, v := range slices.Backward(h.versions) {
		if v.digest == digest {
			return last.digest, nil, Diff(v.directory, last.directory)
		}
	}
	return last.digest, last.directory, nil
}

// Copy is a host's copy of the leader's directory. It is not safe for concurrent use.
type Copy struct {
	directory *fleetpb.Directory
	digest    uint64
}

// Directory returns the copied directory, or nil before the first one.
func (c *Copy) Directory() *fleetpb.Directory { return c.directory }

// Digest returns the digest to send with the next request. It is 0 while the whole directory is needed.
func (c *Copy) Digest() uint64 { return c.digest }

// Set replaces the copy.
func (c *Copy) Set(d *fleetpb.Directory, digest uint64) {
	c.directory, c.digest = d, digest
}

// Next returns the directory that the response to a request leads to, or nil if it leads to none. The request was sent with the
// digest sent; the response names the digest of the latest directory and has the whole of it or the change. A change that doesn't
// lead to that digest is dropped, and the whole directory is requested next.
func (c *Copy) Next(sent, latest uint64, whole *fleetpb.Directory, change *fleetpb.DirectoryChange) *fleetpb.Directory {
	if change == nil {
		return whole
	}
	if c.directory == nil || c.digest != sent {
		// Another response has been handled since the request was sent.
		return nil
	}
	next := Apply(c.directory, change)
	if digest, err := Digest(next); err != nil || digest != latest {
		c.digest = 0
		return nil
	}
	return next
}
