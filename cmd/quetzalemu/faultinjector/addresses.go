package faultinjector

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and lastPort bound the ports of FreeAddresses. They are below the ports that
	// Linux gives to outgoing connections, so that none of those takes a port between its
	// choice and its use.
	firstPort = 10000
	lastPort  = 32000
	// maxPortTries is the number of ports that are tried for one address.
	maxPortTries = 100
)

// FreeAddresses returns loopback addresses whose ports are free. The ports are random, so that
// processes that look for addresses at the same time rarely choose the same ones.
func FreeAddresses(count int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for range count {
		listener, err := listenOnRandomPort()
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses, nil
}

func listenOnRandomPort() (net.Listener, error) {
	var lastErr error
	for range maxPortTries {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		listener, err := net.Listen("tcp", address.String())
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "no free port")
}
