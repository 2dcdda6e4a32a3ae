package parse

import (
	"fmt"
	"net/netip"
)

// Addr is an IP address with a port. Host names are rejected.
type Addr struct {
	netip.AddrPort
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Addr) UnmarshalText(text []byte) error {
	v, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return fmt.Errorf("must be an IP address with a port like \"10.0.0.7:7000\", not %q", text)
	}
	a.AddrPort = v
	return nil
}
