// Package zone runs the coordination of an availability zone on an entry host:
// the election of the coordinator, heartbeats and zone summaries, target
// announcements, and slot permits from the host's own zone and from others.
package zone
