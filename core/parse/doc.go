// Package parse decodes JSON with comments into structs and reports all problems of a file
// together, each with its file and line.
//
// # Usage
//
//	var doc config.Document
//	problems := parse.Into("trial.json", data, &doc)
//	if err := problems.Err(); err != nil { ... }
//
// A struct field gets the value of the key in its json tag. Unknown keys, duplicate keys and
// values of the wrong type are problems. A type that implements encoding.TextUnmarshaler is
// decoded from a string.
package parse
