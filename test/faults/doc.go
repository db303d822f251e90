// Package faults holds focused failure tests with real processes: kills, lost
// disks, freezes, silent partitions and racing operators.
package faults
