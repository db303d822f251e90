// Package rollout carries accepted bundle versions to all hosts. The leader's
// Distributor sends offers down a tree; each host's Holder verifies a version
// before it is put in force; the Puller of an entry host asks for versions that
// an offer did not bring.
package rollout
