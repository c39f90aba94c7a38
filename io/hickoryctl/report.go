package hickoryctl

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hickoryworks/core/hickoryreport"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickoryaudit"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

const (
	outFlag        = "out"
	reportFileMode = 0o644
	reportDirMode  = 0o755
	reportJSON     = "report.json"
	reportHTML     = "report.html"
	imbalancePlot  = "imbalance.png"
)

func (t *Tool) reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "collect the auditors' report; exit 1 when an instance's counts are missing",
		Flags: []cli.Flag{
			instancesURLFlag(),
			&cli.StringFlag{Name: outFlag, Usage: "also write " + reportJSON + " and " + reportHTML + " into `FOLDER`"},
		},
		Action: t.report,
		Commands: []*cli.Command{{
			Name:      "diff",
			Usage:     "compare two collected reports",
			ArgsUsage: "OLD.json NEW.json",
			Action:    t.reportDiff,
		}},
	}
}

// report collects and prints the report of the auditors: for each service, the broken
// flows (their packets found no owner), the refused first packets (no upstream accepted
// them) and the imbalance of open flows between upstreams.
func (t *Tool) report(ctx context.Context, command *cli.Command) error {
	report, err := t.collect(ctx, command)
	if err != nil {
		return err
	}
	if folder := command.String(outFlag); folder != "" {
		if err := writeReport(folder, &report); err != nil {
			return err
		}
	}
	if err := t.write(command, report, func(w io.Writer) { printReport(w, &report) }); err != nil {
		return err
	}
	if len(report.Coverage.Missing) > 0 {
		return cli.Exit("the counts of some instances are missing", hickoryprogram.ExitFailure)
	}
	return nil
}

// collect asks every listed instance for its counts and builds the report. The
// report's coverage lists instances that did not answer as missing.
func (t *Tool) collect(ctx context.Context, command *cli.Command) (hickoryaudit.Report, error) {
	instances, err := t.instances(ctx, command)
	if err != nil {
		return hickoryaudit.Report{}, err
	}
	var mutex sync.Mutex
	var replies []hickorymessage.ReportReply
	forEachInstance(instances, func(_ int, instance hickoryplatform.Instance) {
		var reply hickorymessage.ReportReply
		err := t.call(ctx, instance, "status.Report", hickorymessage.ReportRequest{}, &reply)
		mutex.Lock()
		defer mutex.Unlock()
		if err == nil {
			replies = append(replies, reply)
		}
	})
	return hickoryreport.Collect(t.now(), listedInstances(instances), replies), nil
}

func listedInstances(instances []hickoryplatform.Instance) []hickoryreport.Listed {
	result := make([]hickoryreport.Listed, 0, len(instances))
	for _, instance := range instances {
		entry := hickoryreport.Listed{Instance: instance.ID}
		if instance.Upstream != nil {
			entry.Upstream = *instance.Upstream
		}
		if instance.Service != nil {
			entry.Service = *instance.Service
		}
		result = append(result, entry)
	}
	return result
}

// reportDiff compares two reports that the command report has written.
func (t *Tool) reportDiff(_ context.Context, command *cli.Command) error {
	if command.Args().Len() != 2 {
		return cli.Exit("report diff takes two files", hickoryprogram.ExitInvalid)
	}
	before, err := readReport(command.Args().Get(0))
	if err != nil {
		return hickoryprogram.InvalidInput(err)
	}
	after, err := readReport(command.Args().Get(1))
	if err != nil {
		return hickoryprogram.InvalidInput(err)
	}
	changes, err := hickoryreport.Diff(before, after)
	if err != nil {
		return hickoryprogram.InvalidInput(err)
	}
	return t.write(command, changes, func(w io.Writer) { printReportChanges(w, changes) })
}

func readReport(path string) (*hickoryaudit.Report, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	report := &hickoryaudit.Report{}
	return report, errors.Wrapf(json.Unmarshal(content, report), "decode report %s", path)
}

func writeReport(folder string, report *hickoryaudit.Report) error {
	if err := os.MkdirAll(folder, reportDirMode); err != nil {
		return errors.Wrap(err, "create report folder")
	}
	content, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if err := os.WriteFile(filepath.Join(folder, reportJSON), content, reportFileMode); err != nil {
		return errors.Wrap(err, "write report")
	}
	if err := writePlot(filepath.Join(folder, imbalancePlot), report); err != nil {
		return err
	}
	return writePage(filepath.Join(folder, reportHTML), report)
}

func printReport(w io.Writer, report *hickoryaudit.Report) {
	printf(w, "definitions\tversion %d\n", report.DefinitionVersion)
	printf(w, "coverage\t%d of %d instances, missing %v\n\n",
		report.Coverage.Answered, report.Coverage.Listed, report.Coverage.Missing)
	printf(w, "TEAM\tSERVICE\tBROKEN FLOWS\tREFUSED\tIMBALANCE\tCOVERAGE\n")
	for i := range report.Services {
		s := &report.Services[i]
		printf(w, "%s\t%s\t%s\t%s\t%s\t%d/%d\n", s.Team, s.Service, shareText(s.Broken), shareText(s.Refused),
			imbalanceText(s.Imbalance), s.Coverage.Answered, s.Coverage.Listed)
		for _, zone := range s.Zones {
			printf(w, "\t  zone %s %s\t%s\t%s\t\t%d agents\n", zone.Zone, zone.Change,
				shareText(zone.Lost), shareText(zone.Refused), zone.Agents)
		}
	}
}

func printReportChanges(w io.Writer, changes []hickoryreport.Change) {
	printf(w, "TEAM\tSERVICE\tBROKEN FLOWS\tREFUSED\tIMBALANCE\n")
	for _, c := range changes {
		printf(w, "%s\t%s\t%s -> %s\t%s -> %s\t%s -> %s\n", c.Team, c.Service,
			brokenOf(c.Before), brokenOf(c.After), refusedOf(c.Before), refusedOf(c.After),
			imbalanceOf(c.Before), imbalanceOf(c.After))
	}
}
