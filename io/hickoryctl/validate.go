package hickoryctl

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickoryid"
)

// validation is the result of the command validate for one file.
type validation struct {
	File     string        `json:"file"`
	Sections []sectionFile `json:"sections"`
	Refused  []refusal     `json:"refused"`
}

// refusal is an address that a section claims but does not get.
type refusal struct {
	Team    hickoryid.TeamName    `json:"team"`
	Service hickoryid.ServiceName `json:"service"`
	Address string                `json:"address"`
	Reason  string                `json:"reason"`
}

func (t *Tool) validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a document or one section; exit 2 when it would be rejected",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return cli.Exit("validate takes one file", hickoryprogram.ExitInvalid)
			}
			return t.validate(command, command.Args().First())
		},
	}
}

func (t *Tool) validate(command *cli.Command, path string) error {
	sections, err := readDocument(path)
	if err != nil {
		return hickoryprogram.InvalidInput(err)
	}
	if len(sections) == 0 {
		return cli.Exit(path+" has no sections", hickoryprogram.ExitInvalid)
	}
	result := validation{File: path, Sections: sections, Refused: refusals(sections)}
	if err := t.write(command, result, result.print); err != nil {
		return err
	}
	if faults := result.faults(); faults > 0 {
		return cli.Exit("the document is invalid", hickoryprogram.ExitInvalid)
	}
	return nil
}

// refusals resolves the claims of all sections without problems.
func refusals(sections []sectionFile) []refusal {
	_, claims := hickoryconfig.Resolve(accepted(sections), nil)
	refused := []refusal{}
	for _, claim := range claims {
		refused = append(refused, refusal{
			Team:    claim.Team,
			Service: claim.Service,
			Address: claim.Address.Socket.String(),
			Reason:  refusalReason(claim),
		})
	}
	return refused
}

func refusalReason(claim hickoryconfig.Refusal) string {
	if claim.Owner == "" {
		return claim.RefusalReason.String()
	}
	return claim.RefusalReason.String() + ": " + string(claim.Owner)
}

func accepted(sections []sectionFile) map[hickoryid.TeamName]hickoryconfig.Accepted {
	result := map[hickoryid.TeamName]hickoryconfig.Accepted{}
	for _, section := range sections {
		if len(section.Problems) == 0 {
			result[section.Team] = hickoryconfig.Accepted{Version: 1, Section: section.section}
		}
	}
	return result
}

func (v *validation) faults() int {
	faults := len(v.Refused)
	for _, section := range v.Sections {
		faults += len(section.Problems)
	}
	return faults
}

func (v *validation) print(w io.Writer) {
	for _, section := range v.Sections {
		for _, problem := range section.Problems {
			printf(w, "%s:%d\t%s\t%s\t%s\n", v.File, problem.Line, section.Team, problem.Path, problem.Reason)
		}
	}
	for _, claim := range v.Refused {
		printf(w, "%s\t%s\t%s %s\t%s\n", v.File, claim.Team, claim.Service, claim.Address, claim.Reason)
	}
	if v.faults() == 0 {
		printf(w, "%s: %d sections, no problems\n", v.File, len(v.Sections))
	}
}
