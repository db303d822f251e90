// Package tomldoc decodes TOML documents strictly and reports every problem
// with its line: syntax errors, unknown keys and wrong types.
//
// The TOML library stops at the first wrong type and gives no positions of
// keys. This package therefore decodes into untyped values, assigns them to
// the fields itself, and looks up lines only for the keys of findings.
package tomldoc
