// Package logevent defines the numbered log events of all processes. docs/EVENTS.md lists the cause of each event and what
// an operator does about it.
package logevent

import "github.com/rs/zerolog"

// Event is a log event with a number that stays the same when its message is reworded.
type Event struct {
	Number  int
	Level   zerolog.Level
	Message string
}

// Log starts a log line with the number, level and message of the event. The calling function adds fields and sends the line.
func (e Event) Log(log zerolog.Logger) *zerolog.Event {
	return log.WithLevel(e.Level).Int("event", e.Number).Str("message", e.Message)
}

// The events of all processes.
var (
	Started      = Event{1001, zerolog.InfoLevel, "process started"}
	Stopping     = Event{1002, zerolog.InfoLevel, "planned stop began"}
	Stopped      = Event{1003, zerolog.InfoLevel, "planned stop ended"}
	Reloaded     = Event{1004, zerolog.InfoLevel, "settings reloaded"}
	ReloadFailed = Event{1005, zerolog.ErrorLevel, "settings not reloaded; the previous ones stay in force"}

	KeeperLost        = Event{1101, zerolog.WarnLevel, "no connection to the keeper on this VM"}
	LeaveNotAnnounced = Event{1102, zerolog.WarnLevel, "the planned stop could not be announced"}
	HandedOver        = Event{1103, zerolog.InfoLevel, "memory of idempotency keys handed over"}
	HandOverFailed    = Event{1104, zerolog.WarnLevel, "memory of idempotency keys only partly handed over"}

	CatalogueAdopted = Event{1201, zerolog.InfoLevel, "catalogue revision adopted"}
	EntryUnreadable  = Event{1202, zerolog.ErrorLevel, "catalogue entry is unreadable"}

	StoreUnreachable  = Event{1301, zerolog.WarnLevel, "the store cannot be reached"}
	VMListUnreachable = Event{1302, zerolog.WarnLevel, "the VM list cannot be reached"}
	StoreBehind       = Event{1303, zerolog.WarnLevel, "the store lacks changes that the fleet has"}
	StoreRepaired     = Event{1304, zerolog.InfoLevel, "missing changes were written to the store again"}
	CatalogueForked   = Event{1305, zerolog.ErrorLevel, "one revision has two operation ids"}
	SnapshotWritten   = Event{1306, zerolog.InfoLevel, "catalogue snapshot written"}
	SnapshotFailed    = Event{1307, zerolog.WarnLevel, "catalogue snapshot not written"}
	StartConfirmed    = Event{1308, zerolog.InfoLevel, "catalogue confirmed after start"}
	Isolated          = Event{1309, zerolog.WarnLevel, "neither the store nor any keeper answers"}

	HistoryDiscarded    = Event{1310, zerolog.InfoLevel, "the store has discarded the history that a watch needs"}
	StoreRecovered      = Event{1311, zerolog.InfoLevel, "the store answers again"}
	ConfigAdopted       = Event{1312, zerolog.InfoLevel, "configuration adopted"}
	ConfigRefused       = Event{1313, zerolog.ErrorLevel, "configuration not adopted"}
	ServerEntryUnusable = Event{1314, zerolog.WarnLevel, "entry of a backend server cannot be used"}
	RegistrationFailed  = Event{1315, zerolog.WarnLevel, "the registration of a VM failed or is unreadable"}
	BlockStored         = Event{1318, zerolog.InfoLevel, "the block of a request that crashes backend servers is in the store"}
	BlockFailed         = Event{1319, zerolog.WarnLevel, "the block of a request cannot be written to the store or read from it"}
	StoreRestored       = Event{1317, zerolog.WarnLevel, "the store has come back from an older copy of itself"}
	KeysUnproven        = Event{1320, zerolog.WarnLevel, "this VM cannot show that its keys are current and serves none"}
	KeysProven          = Event{1321, zerolog.InfoLevel, "this VM can show that its keys are current"}
	Registered          = Event{1316, zerolog.InfoLevel, "this VM is registered"}

	PeerUnreachable = Event{1401, zerolog.DebugLevel, "a keeper cannot be reached"}

	ChangesTooLarge = Event{1322, zerolog.WarnLevel, "the changes of the store are too large for one response"}
	VMSilent        = Event{1402, zerolog.WarnLevel, "a VM of this availability zone is silent"}
	VMSilenceEnded  = Event{1403, zerolog.InfoLevel, "a silent VM of this availability zone sends heartbeats again"}
	FetchFailed     = Event{1405, zerolog.WarnLevel, "changes could not be fetched from another VM"}
	FullCopyFetched = Event{1406, zerolog.InfoLevel, "another VM gave its full copy of the store"}
	DatagramFailed  = Event{1404, zerolog.WarnLevel, "datagram to or from another VM failed"}

	BackendEjected   = Event{1501, zerolog.WarnLevel, "backend server taken out of service"}
	BackendReturned  = Event{1502, zerolog.InfoLevel, "backend server back in service"}
	BackendJoined    = Event{1503, zerolog.InfoLevel, "backend server joined"}
	BackendRemoved   = Event{1504, zerolog.InfoLevel, "backend server removed"}
	BackendDraining  = Event{1505, zerolog.InfoLevel, "backend server is draining"}
	BackendLeaving   = Event{1508, zerolog.InfoLevel, "backend server says that it leaves"}
	BackendLimited   = Event{1509, zerolog.InfoLevel, "backend server names a limit of requests a second, or none any more"}
	BackendPaused    = Event{1510, zerolog.InfoLevel, "backend server wants no requests for a time"}
	BackendUnhealthy = Event{1506, zerolog.WarnLevel, "backend server considered unhealthy"}
	BackendHealthy   = Event{1507, zerolog.InfoLevel, "backend server considered healthy again"}

	RequestRefused   = Event{1601, zerolog.WarnLevel, "request refused without having run"}
	RequestFailed    = Event{1602, zerolog.WarnLevel, "request ended without an answer of a backend server"}
	RequestAnswered  = Event{1603, zerolog.InfoLevel, "request answered"}
	RetryDenied      = Event{1609, zerolog.InfoLevel, "no further attempt of a request"}
	AttemptFailed    = Event{1605, zerolog.WarnLevel, "an attempt failed and another one follows"}
	CallerConnFailed = Event{1606, zerolog.WarnLevel, "a caller's connection could not be accepted or was closed without its answers"}
	Overloaded       = Event{1608, zerolog.WarnLevel, "this VM runs late and refuses requests"}
	HandlerPanicked  = Event{1607, zerolog.ErrorLevel, "the handling of a request panicked"}
	WrittenLate      = Event{1611, zerolog.WarnLevel, "request is sent long after its backend server was chosen, or after its deadline"}
	AllowanceUnknown = Event{1610, zerolog.WarnLevel, "no VM could tell whether a request lies within the allowance of its organisation"}
	LinesDropped     = Event{1604, zerolog.WarnLevel, "log lines were dropped to keep the volume bounded"}
)
