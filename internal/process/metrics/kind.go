package metrics

// Kind is a kind of message between callers, entry instances, backend servers and the platform.
type Kind int

// The useful kinds: what even a dispatcher without any overhead would have to send.
const (
	// Submission is the first arrival of a submission.
	Submission Kind = iota
	// Start is a start that led to an answer; it is counted when the answer arrives.
	Start
	// Answer is the answer of a task that was waited for.
	Answer
	// JobAnswer is the answer to a submission.
	JobAnswer

	firstWasted
)

// The wasted kinds: everything else.
const (
	// LostStart is a start that led to no answer.
	LostStart = firstWasted + iota
	// Refusal is a backend server's word that it did not start a task.
	Refusal
	// Probe is a message on a new connection to a backend server that went silent.
	Probe
	// Ask asks a backend server what it knows of a task.
	Ask
	// Status answers an Ask or a Revoke.
	Status
	// Revoke tells a backend server never to start a task.
	Revoke
	// Fence tells a backend server never to start any task of a submission.
	Fence
	// Stop tells a backend server to stop a task.
	Stop
	// Renewal moves the end of leases.
	Renewal
	// Occupancy is a backend server's report that carries no answer.
	Occupancy
	// Session opens a session with a backend server.
	Session
	// Borrow asks a peer for idle slots or units of a limit.
	Borrow
	// Loan answers a Borrow.
	Loan
	// Return gives borrowed slots or units back.
	Return
	// Heartbeat is a message of the membership.
	Heartbeat
	// Resubmission asks a peer whether it has a submission.
	Resubmission
	// Forward carries a caller's request to the entry instance that has the job.
	Forward
	// List fetches the platform's list of instances.
	List
	// Log reads or appends records of the platform's log.
	Log
	// CatalogueNews passes versions of the catalogue between peers.
	CatalogueNews
	// Duplicate is a second arrival of a submission.
	Duplicate
	// LateAnswer is an answer that nobody waited for any more.
	LateAnswer
	// Cancel is a caller's request to end a job.
	Cancel
	// Query is a caller's request to get or watch a job.
	Query

	kinds
)

var kindNames = [kinds]string{
	Submission:    "submission",
	Start:         "start",
	Answer:        "answer",
	JobAnswer:     "job-answer",
	LostStart:     "lost-start",
	Refusal:       "refusal",
	Probe:         "probe",
	Ask:           "ask",
	Status:        "status",
	Revoke:        "revoke",
	Fence:         "fence",
	Stop:          "stop",
	Renewal:       "renewal",
	Occupancy:     "occupancy",
	Session:       "session",
	Borrow:        "borrow",
	Loan:          "loan",
	Return:        "return",
	Heartbeat:     "heartbeat",
	Resubmission:  "resubmission",
	Forward:       "forward",
	List:          "list",
	Log:           "log",
	CatalogueNews: "catalogue-news",
	Duplicate:     "duplicate",
	LateAnswer:    "late-answer",
	Cancel:        "cancel",
	Query:         "query",
}

// String returns the kebab-case name of the kind.
func (knd Kind) String() string {
	if knd < 0 || knd >= kinds {
		return "unknown"
	}
	return kindNames[knd]
}

// Wasted reports whether messages of the kind are overhead.
func (knd Kind) Wasted() bool { return knd >= firstWasted }
