package hickorydemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"hickoryworks/io/hickoryagent"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
	"hickoryworks/schema/hickorysettings"
)

// host is the machine of one upstream and its agent.
type host struct {
	service  *ServiceProfile
	id       hickoryid.UpstreamID
	zone     hickoryid.ZoneName
	upstream *hickorystandin.Upstream
	agent    *hickoryagent.Agent
	// leaving is true after the drain of the upstream; cold is true if it started
	// cold.
	leaving bool
	cold    bool
}

// startHost starts an upstream and then its agent. A warm time above 0 makes the
// upstream start cold.
func (f *fleet) startHost(ctx context.Context, service *ServiceProfile, number int, warmTime time.Duration) error {
	h := &host{
		service: service,
		id:      hickoryid.UpstreamID(fmt.Sprintf("%s-%d", service.Name, number)),
		zone:    f.options.Profile.Zones[(number+int(service.Number))%len(f.options.Profile.Zones)],
		cold:    warmTime > 0,
	}
	var err error
	h.upstream, err = hickorystandin.NewUpstream(hickorystandin.UpstreamConfig{
		Service:     service.Name,
		ID:          h.id,
		Number:      service.Number,
		Back:        f.fabric.Back(),
		Carrier:     f.network.Carrier(h.zone),
		Slots:       service.Slots,
		Connections: service.Connections,
		WorkTime:    workTime,
		WarmTime:    warmTime,
	}, f.logger)
	if err != nil {
		return err
	}
	f.network.AssignZone(h.upstream.Endpoint(), h.zone)
	h.upstream.Start(ctx)
	f.closers = append(f.closers, h.upstream.Close)
	if err := f.startAgent(ctx, h); err != nil {
		return err
	}
	f.hosts = append(f.hosts, h)
	return nil
}

func (f *fleet) startAgent(ctx context.Context, h *host) error {
	agent, err := hickoryagent.New(hickorysettings.Agent{
		Instance:         hickoryid.InstanceID("agent-" + h.id),
		Zone:             h.zone,
		Region:           f.options.Profile.Region,
		Service:          h.service.Name,
		Upstream:         h.id,
		DataEndpoint:     "127.0.0.1:0",
		ControlEndpoint:  "127.0.0.1:0",
		DeliveryEndpoint: h.upstream.Endpoint().ID(),
		Platform:         f.platformSettings(),
	}, f.logger,
		hickoryagent.WithCarrier(f.network.Carrier(h.zone)),
		hickoryagent.WithRandom(rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))),
	)
	if err != nil {
		return err
	}
	h.agent = agent
	f.network.AssignZone(agent.Endpoint(), h.zone)
	f.closers = append(f.closers, agent.Close)
	return agent.Start(ctx)
}

// document returns the entry of the upstream in the section.
func (h *host) document() hickorydocument.Upstream {
	return hickorydocument.Upstream{ID: h.id, Zone: h.zone, Endpoint: h.agent.Endpoint().ID()}
}

// instance returns the entry of the agent in the list of instances.
func (h *host) instance(region hickoryid.RegionName) hickoryplatform.Instance {
	upstream := h.id
	state := hickoryplatform.InstanceStateLive
	if h.leaving {
		state = hickoryplatform.InstanceStateLeaving
	}
	return hickoryplatform.Instance{
		ID:              hickoryid.InstanceID("agent-" + h.id),
		Role:            hickoryplatform.RoleAgent,
		Zone:            h.zone,
		Region:          region,
		State:           state,
		Upstream:        &upstream,
		DataEndpoint:    h.agent.Endpoint().ID(),
		ControlEndpoint: h.agent.ControlEndpoint(),
	}
}
