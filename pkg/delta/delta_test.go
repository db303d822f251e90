package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// routes returns a policy-like document with n routes whose names are random.
func routes(n int, seed uint64) []byte {
	random := rand.New(rand.NewPCG(seed, 1))
	var b bytes.Buffer
	for range n {
		fmt.Fprintf(&b, `{"Name":"r-%07x","Kind":"safe","TargetLatencyS":0.6,"Priority":2,"Sticky":true,"Match":{"PathPrefix":"/p%08x/"},`+
			`"Action":{"Service":"s","TimeoutS":1.2,"MaxAttempts":2,"AllowedRegions":[]}},`, random.Uint32()>>4, random.Uint32())
	}
	return b.Bytes()
}

// TestRoundTrip guards against documents that change on the way, and against a delta
// that is as large as the document.
func TestRoundTrip(t *testing.T) {
	base := routes(1400, 1)
	changed := bytes.Replace(base, []byte(`"TimeoutS":1.2`), []byte(`"TimeoutS":1.3`), 1)
	for _, test := range []struct {
		name           string
		base, document []byte
		limit          int // of the delta, in bytes
	}{
		{"whole", nil, base, len(base) / 8},
		{"one change", base, changed, 512},
		{"one route more", base, append(bytes.Clone(base), routes(1, 2)...), 512},
		{"many routes more", routes(5, 1), base, len(base) / 8},
		{"same", base, base, 512},
		{"empty", base, nil, 64},
		{"short base", []byte("x"), base, len(base) / 8},
		{"short", nil, []byte("short"), 64},
	} {
		data, err := Encode(test.base, test.document)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > test.limit {
			t.Errorf("%s: %d bytes for a document of %d, want at most %d", test.name, len(data), len(test.document), test.limit)
		}
		got, err := Decode(test.base, data, len(test.document), Digest(test.document))
		if err != nil || !bytes.Equal(got, test.document) {
			t.Errorf("%s: document changed on the way, error %v", test.name, err)
		}
	}
}

// TestDecodeRefuses guards against a document that is put together from the wrong base
// or from damaged bytes, and against one that fills the memory.
func TestDecodeRefuses(t *testing.T) {
	base, document := routes(50, 1), routes(60, 1)
	data, err := Encode(base, document)
	if err != nil {
		t.Fatal(err)
	}
	other := bytes.Replace(base, []byte("r-"), []byte("x-"), 1)
	for name, decode := range map[string]func() ([]byte, error){
		"other base": func() ([]byte, error) { return Decode(other, data, 1<<24, Digest(document)) },
		"no base":    func() ([]byte, error) { return Decode(nil, data, 1<<24, Digest(document)) },
		"cut short":  func() ([]byte, error) { return Decode(base, data[:len(data)/2], 1<<24, Digest(document)) },
		"too large":  func() ([]byte, error) { return Decode(base, data, len(document)/2, Digest(document)) },
		"not a frame": func() ([]byte, error) {
			return Decode(base, []byte("plain text"), 1<<24, Digest(document))
		},
	} {
		if got, err := decode(); err == nil {
			t.Errorf("%s: decoded to %d bytes without an error", name, len(got))
		}
	}
}

// FuzzDecode guards against bytes that end the process or exceed the memory limit.
func FuzzDecode(f *testing.F) {
	base := routes(20, 1)
	data, err := Encode(base, routes(25, 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := Decode(base, data, 1<<20, 1); err == nil && len(got) > 1<<20 {
			t.Errorf("decoded to %d bytes", len(got))
		}
	})
}

// BenchmarkEncode measures a change of one route by the number of routes.
func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			base := routes(n, 1)
			document := append(bytes.Clone(base), routes(1, 2)...)
			for b.Loop() {
				if _, err := Encode(base, document); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
