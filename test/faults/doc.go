// Package faults holds failure tests with real processes, each for one kind of
// failure: kills, lost disks, freezes, silent partitions and racing operators.
package faults
