// Package parse reads JSON with comments into typed structs and reports every
// mistake at once, each with its file and line.
//
// # Usage
//
//	var doc config.Document
//	problems := parse.Into("trial.json", data, &doc)
//	if err := problems.Err(); err != nil { ... }
//
// A struct field takes the key of its json tag. Keys that no field takes, keys
// that are given twice and values of the wrong kind are problems. A type that
// implements encoding.TextUnmarshaler is read from a string.
package parse
