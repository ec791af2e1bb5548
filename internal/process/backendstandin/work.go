package backendstandin

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"chestnutstack/internal/request/job"
)

const (
	sleepField = "sleep"
	failField  = "fail"
	echoField  = "echo"
)

// Work is what a payload asks the stand-in to do.
type Work struct {
	// Sleep is the run time of the task.
	Sleep time.Duration
	// Fail makes the task end as failed.
	Fail bool
	// Echo is carried back in the answer.
	Echo string
}

// ParseWork reads a payload such as "sleep=120ms fail=1 echo=any text to the end". Every field may
// be left out; an empty payload is a task that takes no time.
func ParseWork(payload []byte) (Work, error) {
	var wrk Work
	rest := string(payload)
	for rest != "" {
		key, val, ok := strings.Cut(rest, "=")
		if !ok {
			return Work{}, errors.Newf("payload field %q: want NAME=VALUE", rest)
		}
		if key == echoField {
			wrk.Echo = val
			return wrk, nil
		}
		val, rest, _ = strings.Cut(val, " ")
		if err := wrk.set(key, val); err != nil {
			return Work{}, err
		}
	}
	return wrk, nil
}

func (wrk *Work) set(key, val string) error {
	var err error
	switch key {
	case sleepField:
		wrk.Sleep, err = time.ParseDuration(val)
		if err == nil && wrk.Sleep < 0 {
			err = errors.New("negative")
		}
	case failField:
		wrk.Fail, err = strconv.ParseBool(val)
	default:
		err = errors.New("no such field")
	}
	return errors.Wrapf(err, "payload field %q", key)
}

// Payload returns the form that ParseWork reads.
func (wrk Work) Payload() []byte {
	buf := append([]byte(sleepField+"="), wrk.Sleep.String()...)
	if wrk.Fail {
		buf = append(buf, " "+failField+"=1"...)
	}
	if wrk.Echo != "" {
		buf = append(buf, " "+echoField+"="...)
		buf = append(buf, wrk.Echo...)
	}
	return buf
}

// Answer returns what the stand-in answers to a task, so that a caller can check that an answer
// belongs to its own request: a digest of the submission, the index and the payload.
func Answer(sub job.SubmissionID, index uint32, payload []byte) []byte {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(string(sub))
	var num [4]byte
	binary.BigEndian.PutUint32(num[:], index)
	_, _ = dig.Write(num[:])
	_, _ = dig.Write(payload)
	buf := make([]byte, 0, len("answer=")+16)
	buf = append(buf, "answer="...)
	return strconv.AppendUint(buf, dig.Sum64(), 16)
}
