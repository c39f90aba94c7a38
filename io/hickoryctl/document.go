package hickoryctl

import (
	"os"

	"github.com/pkg/errors"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/io/hickoryyaml"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
)

// parsedSection is one section of a file. It is valid when it has no problems.
type parsedSection struct {
	Team     hickoryid.TeamName    `json:"team"`
	Problems []hickoryyaml.Problem `json:"problems"`

	section hickorydocument.Section
}

// readDocument reads a file with one section or with several, separated by "---".
// Problems of the content are part of the sections; the error is for a file that
// cannot be read.
func readDocument(path string) ([]parsedSection, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	documents, err := hickoryyaml.Documents(content)
	var invalid *hickoryyaml.InvalidError
	if errors.As(err, &invalid) {
		return []parsedSection{{Problems: invalid.Problems}}, nil
	}
	if err != nil {
		return nil, err
	}
	sections := make([]parsedSection, 0, len(documents))
	for _, document := range documents {
		read, err := readSection(document)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", path)
		}
		sections = append(sections, read)
	}
	return markDuplicateTeams(sections), nil
}

// readSection decodes one section and checks it, first by its schema and then by the
// rules that a schema cannot express.
func readSection(document *hickoryyaml.Document) (parsedSection, error) {
	read := parsedSection{Problems: []hickoryyaml.Problem{}}
	err := document.Decode(&read.section)
	var invalid *hickoryyaml.InvalidError
	if errors.As(err, &invalid) {
		read.Problems = invalid.Problems
		return read, nil
	}
	read.Team = read.section.Team
	for _, problem := range hickoryconfig.Check(read.Team, read.section) {
		read.Problems = append(read.Problems, hickoryyaml.Problem{
			Path:   problem.Path,
			Line:   document.Line(problem.Path),
			Reason: problem.Reason,
		})
	}
	return read, err
}

// markDuplicateTeams adds a problem to each section of a team that follows the
// team's first section.
func markDuplicateTeams(sections []parsedSection) []parsedSection {
	seen := map[hickoryid.TeamName]bool{}
	for i := range sections {
		team := sections[i].Team
		if team != "" && seen[team] {
			sections[i].Problems = append(sections[i].Problems, hickoryyaml.Problem{
				Path:   "team",
				Reason: "the document has another section of this team",
			})
		}
		seen[team] = true
	}
	return sections
}
