package caller

import (
	"net/http"
	"strings"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/token"
)

const (
	headerAuthorization = "Authorization"
	bearerPrefix        = "Bearer "
	// partnerSeparator stands between partner and id in a scoped submission id.
	partnerSeparator = "/"
)

func identify(auth Authenticator, authorization string) (token.Identity, error) {
	tok, ok := strings.CutPrefix(authorization, bearerPrefix)
	if !ok {
		return token.Identity{}, verdict.New(verdict.NotRun, ReasonUnauthenticated)
	}
	who, ok := auth.Authenticate(tok)
	if !ok {
		return token.Identity{}, verdict.New(verdict.NotRun, ReasonUnauthenticated)
	}
	return who, nil
}

// PartnerOf returns the partner whose bearer token a plain HTTP request carries.
func PartnerOf(auth Authenticator, req *http.Request) (job.Partner, bool) {
	who, err := identify(auth, req.Header.Get(headerAuthorization))
	if err != nil {
		return "", false
	}
	return who.Partner(), true
}

// Scoped prefixes a caller's id with its partner: both partners may choose the same id, and
// neither may reach the other's job by it.
func Scoped(who job.Partner, id string) job.SubmissionID {
	return job.SubmissionID(string(who) + partnerSeparator + id)
}

// Unscoped returns the id as the caller wrote it.
func Unscoped(sub job.SubmissionID) string {
	_, id, _ := strings.Cut(string(sub), partnerSeparator)
	return id
}
