// Package admission implements load shedding per target: it decides which
// requests are refused at once because their target cannot complete all its work
// in time. A short queue completes as many requests as a long one, and each of
// them sooner. Less urgent requests are refused first.
package admission
