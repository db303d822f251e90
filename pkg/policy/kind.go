package policy

// Kind classifies requests by whether they may run more than once.
type Kind uint8

// Kinds of requests.
const (
	Unsafe   Kind = iota // may run at most once
	Safe                 // may run more than once
	Download             // like Safe, with large responses
)

// Idempotent reports whether requests of the kind may run more than once.
func (k Kind) Idempotent() bool { return k != Unsafe }

func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "download"}[k]
}
