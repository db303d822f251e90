// Package entry is the HTTP surface of an entry host: the request path,
// look-ups, announcements of targets, health and graceful shutdown.
package entry
