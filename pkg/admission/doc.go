// Package admission decides which requests are refused at once because their
// target has more work than it can end in time. A short queue serves as many
// requests as a long one and each of them sooner. The less urgent requests are
// refused first.
package admission
