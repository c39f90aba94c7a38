// Package hickorystatus is the RPC service by which a daemon answers hickoryctl, the
// operators' tool. It changes no state.
package hickorystatus

import (
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickorymessage"
)

// Name is the name of the RPC service.
const Name = "status"

// answerTimeout is the maximum time that a call waits for the decide duty.
const answerTimeout = time.Second

// Service answers calls with replies that it requests from the decide duty.
type Service struct {
	ring *hickoryring.InspectionRing
}

// New returns a service that sends its requests to the decide duty by the ring.
func New(ring *hickoryring.InspectionRing) *Service {
	return &Service{ring: ring}
}

// Status returns the state of the instance.
func (s *Service) Status(_ hickorymessage.StatusRequest, reply *hickorymessage.StatusReply) error {
	answer := make(chan hickorymessage.StatusReply, 1)
	if err := s.submit(hickoryring.Inspection{Status: answer}); err != nil {
		return err
	}
	select {
	case *reply = <-answer:
		return nil
	case <-time.After(answerTimeout):
		return errNoAnswer
	}
}

// Report returns the counts of the instance, such as packets and flows.
func (s *Service) Report(_ hickorymessage.ReportRequest, reply *hickorymessage.ReportReply) error {
	answer := make(chan hickorymessage.ReportReply, 1)
	if err := s.submit(hickoryring.Inspection{Report: answer}); err != nil {
		return err
	}
	select {
	case *reply = <-answer:
		return nil
	case <-time.After(answerTimeout):
		return errNoAnswer
	}
}

// Explain returns how the instance would treat a flow: its service, bucket and
// candidates.
func (s *Service) Explain(request hickorymessage.ExplainRequest, reply *hickorymessage.ExplainReply) error {
	key, err := hickorymodel.ParseFlowKey(request.Flow)
	if err != nil {
		return err
	}
	answer := make(chan hickorymessage.ExplainReply, 1)
	if err := s.submit(hickoryring.Inspection{Explain: answer, Flow: key}); err != nil {
		return err
	}
	select {
	case *reply = <-answer:
		return nil
	case <-time.After(answerTimeout):
		return errNoAnswer
	}
}

var (
	errQueueFull = errors.New("too many inspections wait")
	errNoAnswer  = errors.New("the duty that decides did not answer in time")
)

func (s *Service) submit(inspection hickoryring.Inspection) error {
	if !s.ring.Put(inspection) {
		return errQueueFull
	}
	return nil
}
