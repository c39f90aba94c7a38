package hickoryctl

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickoryid"
)

// validationResult is the result of the command validate for one file.
type validationResult struct {
	File     string          `json:"file"`
	Sections []parsedSection `json:"sections"`
	Refused  []refusal       `json:"refused"`
}

// refusal is an address of a service, or a whole service, that a section lists but does
// not get.
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
	result := validationResult{File: path, Sections: sections, Refused: refusals(sections)}
	if err := t.write(command, result, result.print); err != nil {
		return err
	}
	if problemCount := result.problemCount(); problemCount > 0 {
		return cli.Exit("the document is invalid", hickoryprogram.ExitInvalid)
	}
	return nil
}

// refusals returns the addresses and services that are refused to the sections without
// problems, because an address is outside the team's pools or another team uses the same
// address, name or number.
func refusals(sections []parsedSection) []refusal {
	_, resolved := hickoryconfig.Resolve(acceptedSections(sections), nil)
	refused := []refusal{}
	for _, refusedItem := range resolved {
		refused = append(refused, refusal{
			Team:    refusedItem.Team,
			Service: refusedItem.Service,
			Address: refusedItem.Address.Socket.String(),
			Reason:  refusalReason(refusedItem),
		})
	}
	return refused
}

// refusalReason formats the reason, followed by the team that has the address if there
// is one.
func refusalReason(refusedItem hickoryconfig.Refusal) string {
	if refusedItem.Owner == "" {
		return refusedItem.RefusalReason.String()
	}
	return refusedItem.RefusalReason.String() + ": " + string(refusedItem.Owner)
}

// acceptedSections returns the sections without problems.
func acceptedSections(sections []parsedSection) map[hickoryid.TeamName]hickoryconfig.Accepted {
	result := map[hickoryid.TeamName]hickoryconfig.Accepted{}
	for _, section := range sections {
		if len(section.Problems) == 0 {
			result[section.Team] = hickoryconfig.Accepted{Version: 1, Section: section.section}
		}
	}
	return result
}

// problemCount returns the number of problems and refusals of all sections.
func (v *validationResult) problemCount() int {
	problemCount := len(v.Refused)
	for _, section := range v.Sections {
		problemCount += len(section.Problems)
	}
	return problemCount
}

func (v *validationResult) print(w io.Writer) {
	for _, section := range v.Sections {
		for _, problem := range section.Problems {
			printf(w, "%s:%d\t%s\t%s\t%s\n", v.File, problem.Line, section.Team, problem.Path, problem.Reason)
		}
	}
	for _, refusedItem := range v.Refused {
		printf(w, "%s\t%s\t%s %s\t%s\n", v.File, refusedItem.Team, refusedItem.Service, refusedItem.Address, refusedItem.Reason)
	}
	if v.problemCount() == 0 {
		printf(w, "%s: %d sections, no problems\n", v.File, len(v.Sections))
	}
}
