// Package config holds the document that operators write: customers, services
// and what differs between environments, and its checks.
//
// A document has two blocks. Intent is the same in every environment and is
// what a promotion carries over. Environment holds what differs: names, keys
// and payments.
//
// In force, the document is a set of items with version numbers, so that a
// process that missed any number of changes asks for what is newer than its own
// version.
//
// # Usage
//
//	doc, err := config.Parse("trial.json", data)
//	items := config.Split(doc)
package config
