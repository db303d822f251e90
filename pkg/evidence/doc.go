// Package evidence implements passive health checks: it rates targets by what an
// entry host observes itself, such as failed connections, failed work, rejections and
// reported load. What a target reports of its own health counts only where nothing was
// observed. The package also detects outliers among the targets of a service.
package evidence
