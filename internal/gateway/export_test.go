package gateway

// HoldPlacement keeps a node's placement from running until the returned function is called.
func HoldPlacement(n *Node) (release func()) {
	n.placer.mu.Lock()
	return n.placer.mu.Unlock
}
