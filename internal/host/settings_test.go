package host

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
)

// loadWith loads a settings file that has all mandatory fields and the given ones.
func loadWith(t *testing.T, fields string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	is.New(t).NoErr(os.WriteFile(path, fmt.Appendf(nil, `{%s "host": "a", "zone": "z", "address": "127.0.0.1", "caller_port": 1, "operator_port": 2,
		"peer_port": 3, "log_url": "http://127.0.0.1:4", "host_list_url": "http://127.0.0.1:4", "cluster_secret": "0123456789abcdef",
		"operators": [{"name": "ann", "sha256": ""}]}`, fields), 0o600))
	return LoadSettings(path)
}

// TestHedgeSetting guards against hedging that is enabled by default, and against hedging that is accepted with a policy that does not
// support it or rejected with an error that does not name the setting.
func TestHedgeSetting(t *testing.T) {
	is := is.New(t)
	for fields, want := range map[string]bool{"": false, `"hedge": false,`: false, `"hedge": true,`: true, `"hedge": false, "dispatch_policy": "random",`: false} {
		s, err := loadWith(t, fields)
		is.NoErr(err)
		is.Equal(s.Hedge, want)
	}
	for fields, want := range map[string]string{
		`"hedge": true, "dispatch_policy": "random",`: `hedge is true with dispatch_policy "random"`,
		`"hedge": "yes",`: "Settings.hedge of type bool; see docs/CONFIG.md",
	} {
		_, err := loadWith(t, fields)
		is.True(err != nil && strings.Contains(err.Error(), want))
	}
}

// TestPrefetchSetting guards against a prefetch of 0 that is replaced by the default, and against one out of range that is accepted or
// rejected with an error that does not name the setting.
func TestPrefetchSetting(t *testing.T) {
	tests := []struct {
		field string
		want  int
		err   string
	}{
		{"", dispatch.DefaultPrefetch, ""},
		{`"dispatch_prefetch": 0,`, 0, ""},
		{`"dispatch_prefetch": 8,`, 8, ""},
		{`"dispatch_prefetch": 9,`, 0, "dispatch_prefetch is 9: use 0 to 8"},
		{`"dispatch_prefetch": -1,`, 0, "dispatch_prefetch is -1: use 0 to 8"},
	}
	for _, tt := range tests {
		t.Run(tt.field, func(t *testing.T) {
			is := is.New(t)
			s, err := loadWith(t, tt.field)
			if tt.err != "" {
				is.True(err != nil && strings.Contains(err.Error(), tt.err))
				return
			}
			is.NoErr(err)
			is.Equal(s.Prefetch(), tt.want)
		})
	}
}
