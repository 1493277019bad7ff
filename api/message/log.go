package message

import "github.com/verbenaflow/verbenaflow/api/model"

// LogRecord is a durable record of one service. Replay is idempotent: replaying a record twice has the effect of
// replaying it once.
type LogRecord struct {
	// Service names the service that wrote the record and receives it in a replay.
	Service string
	Data    []byte
}

// LogAppend asks the store service to make records durable in the fenced log of this VM's failure domain;
// answered by LogAppended once they are durable. A service changes its own state before it appends, so that a
// snapshot taken in the meantime includes the records. It fails with
//   - failure.NotHolder if a higher epoch has sealed the log; the records are not in the log;
//   - failure.TooLarge if the records exceed 600 kB; the records are not in the log, and the service must undo
//     its change, because a later snapshot would include it;
//   - failure.StoreUnavailable if the store does not answer; the records may become durable later.
type LogAppend struct {
	Epoch   model.Epoch
	Records []LogRecord
}

// LogClose asks the store service to write the closing record of an epoch after all records that arrived
// before it; answered by Done. Later records of the epoch are refused with failure.NotHolder. It fails like
// LogAppend.
type LogClose struct{ Epoch model.Epoch }

// LogAppended acknowledges that records are durable.
type LogAppended struct{}

// LogReplayed is published once after each AuthorityChanged of a new holder. If Sealed was false, it is
// published again once the log could be read and sealed under the same epoch.
type LogReplayed struct {
	Epoch model.Epoch
	// Records holds the last snapshot and the records after it, in order. The log is sealed against
	// earlier epochs.
	Records []LogRecord
	// Sealed is false if the store could not be read, so that records may be missing.
	Sealed bool
	// Complete lists the earlier epochs whose holders closed the log at a graceful handover and never
	// operated without the store.
	Complete []model.Epoch
}

// SnapshotGet asks a service for records from which its whole state can be rebuilt; answered by SnapshotReply.
type SnapshotGet struct{ Epoch model.Epoch }

// SnapshotReply carries the records of a snapshot.
type SnapshotReply struct{ Records []LogRecord }

// KindLogReplayed is the kind of LogReplayed, for subscriptions.
const KindLogReplayed = "log_replayed"

// Kind implements kernel.Message.
func (LogAppend) Kind() string { return "log_append" }

// Kind implements kernel.Message.
func (LogClose) Kind() string { return "log_close" }

// Kind implements kernel.Message.
func (LogAppended) Kind() string { return "log_appended" }

// Kind implements kernel.Message.
func (LogReplayed) Kind() string { return KindLogReplayed }

// Kind implements kernel.Message.
func (SnapshotGet) Kind() string { return "snapshot_get" }

// Kind implements kernel.Message.
func (SnapshotReply) Kind() string { return "snapshot_reply" }
