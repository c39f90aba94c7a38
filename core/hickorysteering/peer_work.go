package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorychoice"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

// maxReportedWork is the longest time in the work that an agent reports. Agents drop
// requests after requestLife and flows after minutes, so a longer one is an error.
const maxReportedWork = time.Hour

// HandleWorkReport applies a report with the work of the upstream. Work that is out of
// range is left out, the rest of the report counts.
func (b *Balancer) HandleWorkReport(now hickorymodel.Instant, from hickorymodel.Endpoint, header *hickoryframe.Header, work *hickoryframe.Work, report *hickoryframe.Report, addresses []hickoryframe.Address) {
	b.HandleReport(now, from, header, report, addresses)
	b.peer(from).applyWork(now, work)
}

// HandleWorkReturn handles a returned first packet with the work of the upstream.
func (b *Balancer) HandleWorkReturn(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, work *hickoryframe.Work, p *Packet) []Action {
	b.peer(from).applyWork(now, work)
	return b.HandleReturn(now, from, reason, p)
}

// applyWork records the work of the upstream, unless it is out of range.
func (p *peer) applyWork(now hickorymodel.Instant, work *hickoryframe.Work) {
	if !workInRange(work) {
		return
	}
	p.work = *work
	p.workAt = now
}

func workInRange(work *hickoryframe.Work) bool {
	longest := max(work.Remaining, work.Wait, work.ServiceTime)
	return fromFrameTime(longest) <= maxReportedWork
}

// figures returns what the agent last said about the work of its upstream, including the
// first packets that wait at the agent.
func (p *peer) figures(now hickorymodel.Instant) hickorychoice.Figures {
	serviceTime := fromFrameTime(p.work.ServiceTime)
	line := time.Duration(p.work.Line) * serviceTime
	return hickorychoice.Figures{
		Remaining:   fromFrameTime(p.work.Remaining) + line,
		Wait:        fromFrameTime(p.work.Wait) + line/time.Duration(max(p.upstream.Slots, 1)),
		ServiceTime: serviceTime,
		Samples:     int(p.work.Samples),
		Age:         now.Sub(p.workAt),
	}
}

// namedWork reports whether an agent has just named the work of its upstream. Its wait then
// decides whether it gets further flows.
func (b *Balancer) namedWork(now hickorymodel.Instant, from hickorymodel.Endpoint) bool {
	return b.work.enabled && b.peer(from).workAt == now
}
