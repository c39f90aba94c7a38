// Package hickoryadmission is the admission control of an agent: it decides how
// many new flows an upstream can take and which agent of a service should take
// a flow.
//
// An opening is a flow that the upstream has not answered yet. An upstream that
// starts is cold: it can handle few openings at once. It becomes warm during a
// slow start, in which the gate raises its limits step by step as the upstream
// answers.
package hickoryadmission
