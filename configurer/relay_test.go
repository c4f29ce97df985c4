package configurer_test

import (
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/configurer"
)

const relaySettings = `{
  // A comment.
  "vm": "entry-1", "failure-domain": "z-a", "cpu-share": 0.4,
  "clients": {"address": "10.0.0.1:80"}, "readiness": {"address": "10.0.0.1:81"},
  "metrics": {"address": "10.0.0.1:82"},
  "peers": {"address": "10.0.0.1:83", "key": "sixteen-characters"},
  "store": {"address": "10.0.0.9:80"}, "runners": {"check-fence": true},
  "lease-ms": 3000, "change-limit-ms": 1500, "drain-limit-s": 8,
  "seeds": ["10.0.0.2:83", "10.0.0.3:83"],
}`

func TestParseRelay(t *testing.T) {
	t.Run("settings are parsed", func(t *testing.T) {
		got, err := configurer.ParseRelay([]byte(relaySettings))
		asserter.NoError(t, err)
		asserter.Equal(t, got.ChangeLimit, 1500)
		asserter.Equal(t, got.ClientsAddress, "10.0.0.1:80")
		asserter.Equal(t, got.CPUShare, 0.4)
		asserter.Equal(t, got.DrainLimit, 8*buckthorndyke.Second)
		asserter.Equal(t, got.FullSpeedLoads, 4)
		asserter.Equal(t, got.Seeds, []string{"10.0.0.2:83", "10.0.0.3:83"})
		asserter.True(t, got.ChecksFencingToken, "ChecksFencingToken is not set")
	})
	t.Run("all faults are reported with their positions", func(t *testing.T) {
		broken := strings.NewReplacer(`"10.0.0.9:80"`, `"store:80"`, `"drain-limit-s": 8`, `"drain-limit-s": "8"`, `"10.0.0.3:83"`, `"entry-3"`,
			`"vm"`, `"vmm"`).Replace(relaySettings)
		_, err := configurer.ParseRelay([]byte(broken))
		asserter.Error(t, err)
		for _, part := range []string{`store:80`, `"entry-3" is not an IP address`, `"drain-limit-s"`, `"vmm"`, `"vm"`, "line 8, column 63"} {
			asserter.Contains(t, err.Error(), part)
		}
	})
}
