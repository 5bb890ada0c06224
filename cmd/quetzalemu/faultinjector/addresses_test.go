package faultinjector

import (
	"net"
	"testing"
)

// A port that outgoing connections may be given can be taken before its user listens on it.
func TestFreeAddressesAvoidPortsOfOutgoingConnections(t *testing.T) {
	addresses, err := FreeAddresses(20)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range addresses {
		if a.Port() < firstPort || a.Port() >= lastPort {
			t.Errorf("port %d is not between %d and %d", a.Port(), firstPort, lastPort)
		}
		listener, err := net.Listen("tcp", a.String())
		if err != nil {
			t.Error(err)
			continue
		}
		listener.Close()
	}
}
