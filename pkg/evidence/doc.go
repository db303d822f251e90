// Package evidence judges targets by what an entry host sees of them itself:
// connections that fail, work that fails, rejections and load. What a target
// says of its health counts only where nothing was seen.
package evidence
