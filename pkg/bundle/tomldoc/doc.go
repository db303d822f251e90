// Package tomldoc decodes TOML documents strictly. It reports all unknown keys
// and wrong types, or the first syntax error, each with its line.
//
// The TOML library stops at the first wrong type and does not give the positions
// of keys. This package therefore decodes into untyped values, assigns them to
// the fields itself, and looks up lines only for the keys of findings.
package tomldoc
