package roundtrip

import (
	"net"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// peerSeparator separates the hash of a peer from the IP address in the names of pools.
const peerSeparator = "~"

// poolAddress returns the address by which http.Transport pools the connections of a request: one pool for each
// peer at an address. Connections to a process that has ended without closing them break when they are used.
func (r Request) poolAddress() string {
	host, port, err := net.SplitHostPort(r.Address)
	if r.Peer == "" || err != nil {
		return r.Address
	}
	return net.JoinHostPort(strconv.FormatUint(xxhash.Sum64String(r.Peer), 36)+peerSeparator+host, port)
}

// dialAddress returns the address to which the connections of a pool are opened.
func dialAddress(pool string) string {
	host, port, err := net.SplitHostPort(pool)
	if err != nil {
		return pool
	}
	_, address, named := strings.Cut(host, peerSeparator)
	if !named {
		return pool
	}
	return net.JoinHostPort(address, port)
}
