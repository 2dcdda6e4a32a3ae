// Command standin-3 plays the scripted cases of this review: it starts the project's nodes as processes with the
// command of the deploy file, on loopback addresses, beside stand-ins of engines, consumers, the operator and the
// platform, and checks one rule by what the stand-ins have seen.
//
// # Usage
//
//	standin-3 -case tenant -binary target/dotterelgap -record record.txt -trouble=true
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main
