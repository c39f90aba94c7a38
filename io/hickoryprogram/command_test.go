package hickoryprogram_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"hickoryworks/io/hickoryprogram"
)

// TestErrorsAreReturnedToMain guards against a stack trace printed before the error
// message, and against an exit handler of the cli library that ends the process before
// Main prints the error.
func TestErrorsAreReturnedToMain(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	command := hickoryprogram.Command("daemon", "test", func(context.Context, string) error {
		return hickoryprogram.InvalidInput(errors.New("settings are invalid"))
	})
	command.Writer, command.ErrWriter = &output, &output
	err := command.Run(t.Context(), []string{"daemon", "--settings", "file"})
	is.Equal(err.Error(), "settings are invalid")
	is.Equal(output.String(), "")
}
