package hickoryfile_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hickoryworks/io/hickoryfile"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickorysettings"
)

// TestReadSettingsRefusesInvalidFile guards against an invalid settings file that is
// reported with another exit code than 2, or without the line of each problem.
func TestReadSettingsRefusesInvalidFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "balancer.yaml")
	is.NoErr(os.WriteFile(path, []byte("instance: balancer-1\nzoen: a\n"), 0o600))
	var settings hickorysettings.Balancer
	err := hickoryfile.ReadSettings(path, &settings)
	var coder cli.ExitCoder
	is.True(errors.As(err, &coder))
	is.Equal(coder.ExitCode(), hickoryprogram.ExitInvalid)
	is.Equal(err.Error(), "settings are invalid\n"+
		path+":1: (top level): missing properties 'zone', 'region', 'dataEndpoint', 'controlEndpoint', 'platform'\n"+
		path+":2: zoen: unknown key")
}
