// Package zone runs zone coordination on an entry host: the election of the
// coordinator, heartbeats and zone summaries, target announcements, and slot
// permits of the own and other zones.
package zone
