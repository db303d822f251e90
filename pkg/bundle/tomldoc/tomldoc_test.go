package tomldoc

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

type inner struct {
	Name string   `toml:"name"`
	List []string `toml:"list"`
}

type outer struct {
	Flag  bool              `toml:"flag"`
	Count int               `toml:"count"`
	Rate  float64           `toml:"rate"`
	Pair  [2]string         `toml:"pair"`
	Names map[string]string `toml:"names"`
	One   inner             `toml:"one"`
	Many  []inner           `toml:"many"`
}

// TestDecode guards against values that are dropped or accepted as another type.
func TestDecode(t *testing.T) {
	Convey("all supported forms are assigned", t, func() {
		var got outer
		text := "flag = true\ncount = -3\nrate = 2\npair = ['a', \"b\"]\nnames.x = 'y'\none = {name = 'n'}\nmany = [{name = 'p'}, {list = ['q']}]\n"
		So(Decode("f", []byte(text), &got), ShouldBeEmpty)
		So(got, ShouldResemble, outer{Flag: true, Count: -3, Rate: 2, Pair: [2]string{"a", "b"}, Names: map[string]string{"x": "y"},
			One: inner{Name: "n"}, Many: []inner{{Name: "p"}, {List: []string{"q"}}}})
	})
	Convey("each wrong type is reported", t, func() {
		for text, want := range map[string]string{
			"flag = 1":               "flag: must be a boolean, not an integer",
			"count = 1.5":            "count: must be an integer, not a number with a fraction",
			"rate = 'x'":             "rate: must be a number, not a string",
			"pair = 'x'":             "pair: must be an array, not a string",
			"pair = ['x']":           "pair: must have 2 elements, not 1",
			"names = 3":              "names: must be a table, not an integer",
			"names.x = true":         "names.x: must be a string, not a boolean",
			"one = []":               "one: must be a table, not an array",
			"many = 2020-01-01":      "many: must be an array of tables, not a date or time",
			"many = ['x']":           "many[0]: must be a table, not a string",
			"[[one]]\nname = 'x'":    "one: must be a table, not an array of tables",
			"[one]\nlist = {a = 1}":  "one.list: must be an array, not a table",
			"[[many]]\nlist = [[1]]": "many[0].list[0]: must be a string, not an array",
		} {
			var got outer
			So(Decode("f", []byte(text), &got).Error(), ShouldEqual, "f: "+want)
		}
	})
}

// TestLocate guards against findings that point to the wrong line.
func TestLocate(t *testing.T) {
	text := "# comment with [[many]]\n" + // 1
		"top = \"\"\"\nname = 'x'\n\"\"\"\n" + // 2 to 4
		"names . 'x' = 1 # names\n" + // 5
		"[one] # header\n" + // 6
		"name = 'a ] b' # name\n" + // 7
		"list = [ # list\n" + // 8
		"  'p', # [\n" + // 9
		"  [\"q\", 'r'], 't',\n" + // 10
		"]\n" + // 11
		"\n[[many]]\n" + // 13
		"name = 'one'\n" + // 14
		"[[many]]\n" + // 15
		"  name = '''two\n'''\n" + // 16, 17
		"[many.sub]\n" + // 18
		"x = \"a\\\"=\"\n" // 19
	want := map[string]int{
		"top": 2, "names.x": 5, "one": 6, "one.name": 7, "one.list": 8, "one.list[0]": 9, "one.list[1]": 10, "one.list[2]": 10,
		"many": 13, "many[0]": 13, "many[0].name": 14, "many[1]": 15, "many[1].name": 16, "many[1].sub": 18, "many[1].sub.x": 19,
		"one.missing": 6, "many[1].missing": 15, "absent": 0, "many[0].name.x": 14,
	}
	Convey("keys of all forms are found", t, func() {
		for key, line := range want {
			found := finding.List{{File: "f", Key: key}}
			Locate([]byte(text), found)
			So(key+": "+found[0].String(), ShouldEqual, key+": "+finding.Finding{File: "f", Line: line, Key: key}.String())
		}
	})
	Convey("a line that is already set is not changed", t, func() {
		found := finding.List{{Line: 3, Key: "one"}}
		Locate([]byte(text), found)
		So(found[0].Line, ShouldEqual, 3)
	})
}
