// Package disk stores a control host's log, snapshot and identity in one folder, and
// journals of records.
//
// All writes go through FS, so that tests can simulate crashes that lose unsynced data or
// tear a write. A batch of log entries is one record and one sync. A record is a length,
// a CRC-32C checksum and CBOR data. Opening a log or a journal truncates a torn last record,
// and fails if valid records follow an invalid one. It syncs what it has read: the process that wrote
// it may have been killed before its own sync.
//
// # Usage
//
//	s, id, saved, err := disk.Open(disk.OS(), "/var/lib/dotterelgap")
//	err = s.Append(time.Now(), state, entries) // returns once the entries are synced
package disk
