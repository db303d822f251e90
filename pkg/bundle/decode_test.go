package bundle

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBadDeltas guards against applying a delta that is malformed or does not
// match the bundle.
func TestBadDeltas(t *testing.T) {
	Convey("Given version 1", t, func() {
		b, _ := Parse("demo.toml", []byte(exampleText(t, "demo.toml")))
		drain := Drain{Kind: DrainZone, Name: "east-a"}
		value := encodeValue(&drain, nil)
		good := Change{Key: "drain/zone/east-a", Value: value}
		next, err := Apply(b, &Delta{From: 1, To: 2, Changes: []Change{good}})
		So(err, ShouldBeNil)
		So(next.Drains, ShouldResemble, []Drain{drain})
		So(b.Drains, ShouldBeEmpty)
		for name, d := range map[string]Delta{
			"another version":          {From: 2, To: 3},
			"same version":             {From: 1, To: 1},
			"absent record removed":    {From: 1, To: 2, Changes: []Change{{Key: "drain/zone/east-a", Removed: true}}},
			"unknown kind":             {From: 1, To: 2, Changes: []Change{{Key: "rack/a"}}},
			"kinds not in order":       {From: 1, To: 2, Changes: []Change{good, {Key: "block/10.1.0.0/16", Removed: true}}},
			"records not in order":     {From: 1, To: 2, Changes: []Change{{Key: "block/10.2.0.0/16", Removed: true}, {Key: "block/10.1.0.0/16", Removed: true}}},
			"record under a wrong key": {From: 1, To: 2, Changes: []Change{{Key: "drain/zone/east-b", Value: value}}},
			"value not decodable":      {From: 1, To: 2, Changes: []Change{{Key: "drain/zone/east-a", Value: []byte{0xff}}}},
			"deployment removed":       {From: 1, To: 2, Changes: []Change{{Key: metaKey, Removed: true}}},
			"unknown record of meta":   {From: 1, To: 2, Changes: []Change{{Key: "meta/x"}}},
			"the same record removed":  {From: 1, To: 2, Changes: []Change{{Key: "block/10.1.0.0/16", Removed: true}, {Key: "block/10.1.0.0/16", Removed: true}}},
			"the same record set":      {From: 1, To: 2, Changes: []Change{good, good}},
		} {
			Convey(name, func() {
				_, err := Apply(b, &d)
				So(err, ShouldNotBeNil)
			})
		}
	})
}

// TestBadSnapshots guards against accepting snapshots with malformed packed blocks.
func TestBadSnapshots(t *testing.T) {
	good := snapshot{Version: 1, BlockZones: []string{"z"}, BlockCount: 1, Blocks: []byte{8, 10, 0}}
	Convey("a good snapshot decodes", t, func() {
		data, err := encoding.Marshal(&good)
		So(err, ShouldBeNil)
		b, err := DecodeSnapshot(data)
		So(err, ShouldBeNil)
		So(b.Blocks, ShouldResemble, []CallerBlock{{Prefix: "10.0.0.0/8", AvailabilityZone: "z"}})
	})
	for name, change := range map[string]func(*snapshot){
		"bytes after the last block": func(s *snapshot) { s.Blocks = append(s.Blocks, 8, 11, 0) },
		"fewer blocks than counted":  func(s *snapshot) { s.BlockCount, s.Blocks = 2, append(s.Blocks, 8) },
		"more blocks than bytes":     func(s *snapshot) { s.BlockCount = 1 << 40 },
		"negative count":             func(s *snapshot) { s.BlockCount = -1 },
		"unknown zone":               func(s *snapshot) { s.Blocks[2] = 1 },
		"too many bits":              func(s *snapshot) { s.Blocks = []byte{33, 1, 2, 3, 4, 5, 0} },
		"too many IPv6 bits":         func(s *snapshot) { s.Blocks = append([]byte{64 + 129}, make([]byte, 20)...) },
		"missing address":            func(s *snapshot) { s.Blocks = []byte{32, 1} },
		"missing zone":               func(s *snapshot) { s.Blocks = []byte{8, 10} },
	} {
		Convey(name, t, func() {
			bad := good
			bad.Blocks = append([]byte(nil), good.Blocks...)
			change(&bad)
			data, err := encoding.Marshal(&bad)
			So(err, ShouldBeNil)
			_, err = DecodeSnapshot(data)
			So(err, ShouldNotBeNil)
		})
	}
}
