// Package rollout distributes accepted bundle versions to all hosts. The leader's
// Distributor sends offers down a tree of entry hosts. The Holder of each host
// verifies a version before putting it in force. The Puller of an entry host
// polls other hosts for versions that no offer delivered.
package rollout
