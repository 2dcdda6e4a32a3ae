// Package disk keeps a control host's log, snapshot and identity in one folder.
//
// Every write goes through FS, so that a test can lose what was not synced or
// tear a write. A batch of entries is one record and one sync. A record is a
// length, a CRC-32C checksum and CBOR data. On opening, a torn last record is
// cut off; damage with whole records behind it is refused.
//
// # Usage
//
//	s, saved, err := disk.Open(disk.OS(), "/var/lib/dotterelgap")
//	err = s.Append(state, entries) // returns once synced
package disk
