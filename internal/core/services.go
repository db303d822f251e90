package core

import "context"

// serviceLoop keeps the roster informed of the services that the policy names, also after
// the state was restored from a snapshot. It ends with ctx.
func (n *Node) serviceLoop(ctx context.Context) {
	for {
		_, changed := n.machine.State()
		n.updateServices()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// updateServices tells the roster which services the policy names.
func (n *Node) updateServices() {
	n.servicesMu.Lock() // an older state must not follow a newer one
	defer n.servicesMu.Unlock()
	state, _ := n.machine.State()
	if !n.targets.SetServices(state.Document.Services) {
		return
	}
	n.config.Log.Info("services of the policy changed", "version", state.Document.Version, "services", len(state.Document.Services),
		"targets_without", n.targets.Counts().Unnamed)
	n.changed.notify()
}
