// Package sigs owns the signals of a process. They are caught from the first line of the
// program on and never get their default action back, so that no signal that has a meaning
// ends the process in a phase in which it is not expected.
//
//	signal            starting      serving       stopping
//	SIGTERM, SIGINT   stop          stop          no effect: the process stops already
//	SIGHUP            kept          reload        reload
//
// Reload means what Hangups documents. Commands without a use for SIGHUP stop (StopOnHangup).
//
// # Usage
//
//	s := sigs.Catch()
//	ctx := s.Context()
//	for {
//		select {
//		case <-ctx.Done():
//			return
//		case <-s.Hangups():
//			readSettings()
//		}
//	}
package sigs
