// Package entry implements the HTTP server of an entry host: requests to
// services, look-ups, announcements of targets, health checks and graceful
// shutdown.
package entry
