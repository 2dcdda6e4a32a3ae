// Package config defines and validates the document in which operators describe customers
// and services, and stores the configuration in force.
//
// A document has two blocks. Intent is the same in every environment and is copied by a
// promotion. Environment contains what differs: names, keys and payments.
//
// The configuration in force is a set of items with version numbers, so that a process that
// missed any number of changes can request only those after its own version.
//
// # Usage
//
//	doc, err := config.Parse("trial.json", data)
//	items := config.Split(doc)
package config
