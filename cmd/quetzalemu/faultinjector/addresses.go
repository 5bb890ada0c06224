package faultinjector

import (
	"net"
	"net/netip"
)

// FreePorts finds ports on loopback that nobody listens on.
func FreePorts(count int) ([]netip.AddrPort, error) {
	var ports []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return ports, nil
}
