package claim

import (
	"slices"
	"testing"
)

// TestAnswerWithBytesThatAreNotUTF8 guards against a recorded answer that cannot be
// replayed, so that a resend is told "unknown" (found beside review case 1). Header values
// may hold any bytes.
func TestAnswerWithBytesThatAreNotUTF8(t *testing.T) {
	answer := Answer{Status: 200, Header: map[string][]string{"X-Band": {"C\xe9il\xed"}}}
	encoded, err := answer.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := encoded.Decode()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(decoded.Header["X-Band"], answer.Header["X-Band"]) {
		t.Errorf("header %q was replayed as %q", answer.Header["X-Band"], decoded.Header["X-Band"])
	}
}
