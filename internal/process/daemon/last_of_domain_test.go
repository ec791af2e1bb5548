package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLastInstanceOfADomainTakesOver guards against servers without a leader after the other instances of their failure domain have lost
// power, the leader a second after two others: the last of the four has led nothing, and hears only one instance of another domain, which
// leads nothing either, about once a second.
func TestLastInstanceOfADomainTakesOver(t *testing.T) {
	inTestSystem(t, 1, 4, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		sys.domains = append(sys.domains, domainName(1))
		sys.startInstance("entry-2-1", domainName(1))
		time.Sleep(3 * time.Second)
		led, last := sys.leader("domain-1"), ""
		for num := range 4 {
			switch name := fmt.Sprintf("entry-1-%d", num+1); {
			case name == led:
			case last == "":
				last = name
			default:
				sys.powerOff(name)
			}
		}
		time.Sleep(time.Second)
		sys.powerOff(led)
		time.Sleep(10 * time.Second)
		chk.Equal(sys.leader("domain-1"), last)
		status := sys.send(sys.ctx, last, jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 100}})
		chk.Equal(status, http.StatusOK)
	})
}
