package hickorystatus

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// Services converts services to entries of a status reply, with the number of
// upstreams in each state.
func Services(services []hickorymodel.Service) []hickorymessage.ServiceStatus {
	statuses := make([]hickorymessage.ServiceStatus, 0, len(services))
	for i := range services {
		statuses = append(statuses, serviceStatus(&services[i]))
	}
	return statuses
}

func serviceStatus(service *hickorymodel.Service) hickorymessage.ServiceStatus {
	status := hickorymessage.ServiceStatus{
		Name:       service.Name,
		Team:       service.Team,
		Generation: hickoryid.SectionVersion(service.Generation),
	}
	for _, upstream := range service.Upstreams {
		switch upstream.State {
		case hickorymodel.UpstreamAccepting:
			status.Accepting++
		case hickorymodel.UpstreamLeaving:
			status.Leaving++
		case hickorymodel.UpstreamSuspected:
			status.Suspected++
		case hickorymodel.UpstreamExcluded:
			status.Excluded++
		}
	}
	return status
}

// Explain converts a table's explanation of a flow to a reply. Found is false when no
// service has the flow's destination address.
func Explain(explanation *hickorytable.Explanation, found bool) hickorymessage.ExplainReply {
	reply := hickorymessage.ExplainReply{Found: found, Candidates: []hickorymessage.CandidateView{}}
	if !found {
		return reply
	}
	generation := hickoryid.SectionVersion(explanation.Choice.Generation)
	reply.Service = &explanation.Service.Name
	reply.Generation = &generation
	reply.Bucket = &explanation.Bucket
	reply.Transition = &explanation.Choice.Transition
	for i := range explanation.Choice.Count {
		reply.Candidates = append(reply.Candidates, candidateView(&explanation.Service, explanation.Choice.Candidates[i]))
	}
	return reply
}

func candidateView(service *hickorymodel.Service, candidate hickorymodel.Candidate) hickorymessage.CandidateView {
	view := hickorymessage.CandidateView{Endpoint: candidate.Endpoint.ID()}
	for i := range service.Upstreams {
		if service.Upstreams[i].Endpoint == candidate.Endpoint {
			view.Upstream = &service.Upstreams[i].ID
		}
	}
	switch candidate.State {
	case hickorymodel.CandidateOwnerOnly:
		view.State = hickorymessage.CandidateViewStateOwnerOnly
	case hickorymodel.CandidateSuspected:
		view.State = hickorymessage.CandidateViewStateSuspected
	default:
		view.State = hickorymessage.CandidateViewStateAccepting
	}
	return view
}
