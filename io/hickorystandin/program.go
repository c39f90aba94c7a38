package hickorystandin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorylog"
	"hickoryworks/schema/hickorypayload"
	"hickoryworks/schema/hickorysettings"
)

// Program holds all stand-ins of one process, as the command hickory-standin runs
// them.
type Program struct {
	settings hickorysettings.Standin
	// directory contains the section files that the settings name.
	directory string
	logger    *hickorylog.Logger
	random    *rand.Rand

	platform  *Platform
	fabric    *Fabric
	upstreams []*Upstream
	callers   []*Caller
	server    *http.Server
	// ended receives the error of the report server when it stops; Close reads it.
	ended chan error
}

// NewProgram opens the sockets of all stand-ins and publishes the sections from
// the directory. Start runs them.
func NewProgram(settings hickorysettings.Standin, directory string, logger *hickorylog.Logger) (*Program, error) {
	seed := uint64(settings.Seed)
	p := &Program{
		settings:  settings,
		directory: directory,
		logger:    logger,
		random:    rand.New(rand.NewPCG(seed, seed)),
		ended:     make(chan error, 1),
	}
	steps := []func() error{p.openPlatform, p.openFabric, p.openUpstreams, p.openCallers}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *Program) openPlatform() error {
	var err error
	if p.platform, err = NewPlatformAt(p.settings.PlatformEndpoint); err != nil {
		return err
	}
	p.platform.SetInstanceLag(p.settings.InstanceLag.Value())
	p.platform.SetInstances(p.settings.Instances)
	for _, section := range p.settings.Sections {
		content, err := os.ReadFile(filepath.Join(p.directory, section.File))
		if err != nil {
			return errors.Wrapf(err, "read section %s", section.Key)
		}
		p.platform.Publish(section.Key, string(content))
	}
	return nil
}

func (p *Program) openFabric() error {
	front, err := hickorymodel.ParseEndpoint(p.settings.FrontEndpoint)
	if err != nil {
		return err
	}
	back, err := hickorymodel.ParseEndpoint(p.settings.BackEndpoint)
	if err != nil {
		return err
	}
	balancers := make([]hickorymodel.Endpoint, 0, len(p.settings.Balancers))
	for _, id := range p.settings.Balancers {
		balancer, err := hickorymodel.ParseEndpoint(id)
		if err != nil {
			return err
		}
		balancers = append(balancers, balancer)
	}
	if p.fabric, err = NewFabric(p.logger, p.source(), WithFabricEndpoints(front, back)); err != nil {
		return err
	}
	p.fabric.SetBalancers(balancers)
	return nil
}

// source returns a source of random numbers for one stand-in, seeded from the
// settings.
func (p *Program) source() *rand.Rand {
	return rand.New(rand.NewPCG(p.random.Uint64(), p.random.Uint64()))
}

func (p *Program) openUpstreams() error {
	for _, settings := range p.settings.Upstreams {
		endpoint, err := hickorymodel.ParseEndpoint(settings.Endpoint)
		if err != nil {
			return err
		}
		upstream, err := NewUpstream(UpstreamConfig{
			Service:     settings.Service,
			ID:          settings.ID,
			Number:      settings.Number,
			Back:        p.fabric.Back(),
			Endpoint:    endpoint,
			Slots:       settings.Slots,
			Connections: settings.Connections,
			WorkTime:    settings.WorkTime.Value(),
			WarmTime:    settings.WarmTime.Value(),
		}, p.logger)
		if err != nil {
			return err
		}
		p.upstreams = append(p.upstreams, upstream)
	}
	return nil
}

func (p *Program) openCallers() error {
	for _, settings := range p.settings.Callers {
		source, err := netip.ParseAddr(settings.Source)
		if err != nil {
			return errors.Wrapf(err, "parse the source address of the callers of %s", settings.Service)
		}
		caller, err := NewCaller(p.fabric.Front(), source, settings.Interval.Value(), p.logger, p.source())
		if err != nil {
			return err
		}
		p.callers = append(p.callers, caller)
	}
	return nil
}

// Start runs all stand-ins until Close, and opens the callers' flows.
func (p *Program) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", string(p.settings.ReportEndpoint))
	if err != nil {
		return errors.Wrapf(err, "open report socket %s", p.settings.ReportEndpoint)
	}
	p.fabric.Start(ctx)
	for _, upstream := range p.upstreams {
		upstream.Start(ctx)
	}
	for i, caller := range p.callers {
		caller.Start(ctx)
		if err := openFlows(caller, p.settings.Callers[i]); err != nil {
			return err
		}
	}
	p.server = &http.Server{Handler: p.handler(), ReadHeaderTimeout: time.Second}
	go func(_ context.Context) {
		p.ended <- p.server.Serve(listener)
	}(ctx)
	return nil
}

// openFlows opens the long-lived and the short flows of the settings. Short flows
// send 2 requests each.
func openFlows(caller *Caller, settings hickorysettings.StandinCaller) error {
	address, err := netip.ParseAddrPort(string(settings.Address))
	if err != nil {
		return errors.Wrapf(err, "parse the address of service %s", settings.Service)
	}
	target := Target{Service: settings.Service, Address: address}
	caller.Open(target, settings.Flows, settings.OpeningTime.Value())
	shortTime := settings.ShortTime.Value()
	const shortRequests = 2
	caller.OpenShort(target, int(shortTime.Seconds()*float64(settings.ShortFlows)), shortTime, shortRequests)
	return nil
}

// Drain returns at once: nothing depends on an orderly stop of a stand-in.
func (p *Program) Drain(_ context.Context) error {
	return nil
}

// Close stops all stand-ins and returns the first error.
func (p *Program) Close() error {
	var errs []error
	if p.server != nil {
		errs = append(errs, p.server.Close())
		if err := <-p.ended; !errors.Is(err, http.ErrServerClosed) {
			errs = append(errs, err)
		}
	}
	for _, caller := range p.callers {
		errs = append(errs, caller.Close())
	}
	for _, upstream := range p.upstreams {
		errs = append(errs, upstream.Close())
	}
	errs = append(errs, p.fabric.Close(), p.platform.Close())
	for _, err := range errs {
		if err != nil {
			return errors.Wrap(err, "close stand-ins")
		}
	}
	return nil
}

// Report returns the sums over all callers and upstreams so far. Latencies are the
// highest of any caller.
func (p *Program) Report() hickorypayload.StandinReport {
	report := hickorypayload.StandinReport{
		ConfigurationCalls: int(p.platform.ConfigurationRequests()),
		PlatformBytes:      int(p.platform.SentBytes()),
	}
	for _, caller := range p.callers {
		callerReport := caller.Report()
		report.Opened += callerReport.Opened
		report.Open += callerReport.Count(FlowOpen)
		report.Broken += callerReport.Broken()
		report.Refused += callerReport.Count(FlowRefused)
		report.Requests += callerReport.Requests
		report.Segments += callerReport.Segments
		report.Retries += callerReport.Retries
		report.Foreign += callerReport.Foreign
		report.LatencyP50Microsecond = max(report.LatencyP50Microsecond, int(callerReport.LatencyP50.Microseconds()))
		report.LatencyP99Microsecond = max(report.LatencyP99Microsecond, int(callerReport.LatencyP99.Microseconds()))
	}
	runs := map[hickorypayload.RequestNumber]int{}
	for _, upstream := range p.upstreams {
		report.WrongService += upstream.Foreign()
		for id, count := range upstream.Runs() {
			runs[id] += count
		}
	}
	for _, count := range runs {
		if count > 1 {
			report.RequestsRunTwice++
		}
	}
	return report
}
