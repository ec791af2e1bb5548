package load

import (
	"time"

	"chestnutstack/internal/process/backendstandin"
	"chestnutstack/internal/request/job"
)

// Checker makes the payload of a task and says what its answer must be.
type Checker interface {
	// Payload asks for a task of a run time; key makes it differ from every other.
	Payload(runTime time.Duration, key string) []byte
	// Answer returns what the task answers; sub is the submission as backend servers know it.
	Answer(sub job.SubmissionID, index uint32, payload []byte) []byte
}

// standInChecker knows what the stand-ins of backend servers do.
type standInChecker struct{}

func (standInChecker) Payload(runTime time.Duration, key string) []byte {
	return backendstandin.Work{Sleep: runTime, Echo: key}.Payload()
}

func (standInChecker) Answer(sub job.SubmissionID, index uint32, payload []byte) []byte {
	return backendstandin.Answer(sub, index, payload)
}
