package faultinjector

import (
	"net"
	"net/netip"
)

// FreeAddresses returns loopback addresses whose ports are free.
func FreeAddresses(count int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses, nil
}
