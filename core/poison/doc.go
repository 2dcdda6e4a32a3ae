// Package poison detects prompt parts that crash engines. When an engine crashes, all
// requests at it fail, so one crash does not show which of them caused it. A Detector
// counts the crashes in which each part was involved, and takes counts back when a prompt
// with the part is answered. Parts that were involved in several crashes and are never
// answered are quarantined: prompts that contain all of them are rejected.
//
// Nodes send each other their reports as datagrams, which may be lost. The quarantines
// that follow from them are replicated by core/gossip, so that a node which joins late,
// restarts or was partitioned knows them too.
//
// The types are pure: they do no I/O and have no clock of their own.
//
// # Usage
//
//	d := poison.NewDetector()
//	if left, ok := d.Quarantined(now, parts); ok {
//		// reject the request
//	}
//	changed := d.Report(now, poison.Report{Kind: poison.Broken, Upstream: crash, Parts: parts})
//	d.Merge(now, quarantineFromPeer)
package poison
