// Package rendezvous implements rendezvous hashing, also called highest random weight hashing (Thaler and Ravishankar 1998). It
// orders hosts for a key: hosts with the same membership view compute the same order, and adding or removing one host moves only
// the keys of that host.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Rank returns hosts ordered by their weight for key, highest first. It does not modify hosts.
func Rank(key string, hosts []string) []string {
	type weighted struct {
		host   string
		weight uint64
	}
	all := make([]weighted, len(hosts))
	for i, h := range hosts {
		all[i] = weighted{h, weight(key, h)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host, b.host))
	})
	ranked := make([]string, len(all))
	for i := range all {
		ranked[i] = all[i].host
	}
	return ranked
}

// First returns the host with the highest weight for key, or an empty string if hosts is empty.
func First(key string, hosts []string) string {
	var best string
	var bestWeight uint64
	for _, h := range hosts {
		w := weight(key, h)
		if best == "" || w > bestWeight || (w == bestWeight && h < best) {
			best, bestWeight = h, w
		}
	}
	return best
}

// weight returns the FNV-1a hash of key and host, mixed with the finalizer of SplitMix64. Without mixing, the high bits of FNV-1a
// are too regular for short, similar names.
func weight(key, host string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(key))
	f.Write([]byte{0})
	f.Write([]byte(host))
	z := f.Sum64()
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
