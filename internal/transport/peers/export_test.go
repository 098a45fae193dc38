package peers

import "net"

// WrapListener replaces the listener of a network that doesn't run yet.
func WrapListener(n *Network, wrap func(net.Listener) net.Listener) { n.listener = wrap(n.listener) }
