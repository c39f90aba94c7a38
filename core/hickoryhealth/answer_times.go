package hickoryhealth

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// maxAddresses bounds the service addresses with an estimate of their own.
	maxAddresses = 64
	// minAnswers is the number of answers from which on an estimate is used.
	minAnswers = 8
	// minDeadline and maxDeadline bound the deadlines. Shorter times than minDeadline
	// occur when a process of a healthy upstream is delayed.
	minDeadline = 250 * time.Millisecond
	maxDeadline = time.Second
	// deadlineDeviations is the number of mean deviations between the mean and the
	// deadline. For exponentially distributed times one answer in about 900 is later.
	deadlineDeviations = 8
	// meanDivisor and deviationDivisor are the inverses of the weights of the newest
	// answer, as in the retransmission timer of RFC 6298.
	meanDivisor      = 8
	deviationDivisor = 4
)

// AnswerTimes estimates by service address how long an upstream takes to answer.
// Requests to one address are alike.
type AnswerTimes struct {
	estimates map[hickorymodel.SocketAddress]*estimate
}

type estimate struct {
	mean      time.Duration
	deviation time.Duration
	// count is the number of answers, at most minAnswers.
	count int
}

// NewAnswerTimes returns AnswerTimes without answers.
func NewAnswerTimes() *AnswerTimes {
	return &AnswerTimes{estimates: map[hickorymodel.SocketAddress]*estimate{}}
}

// Record records the time of an answer.
func (a *AnswerTimes) Record(address hickorymodel.SocketAddress, took time.Duration) {
	e, ok := a.estimates[address]
	if !ok {
		if len(a.estimates) >= maxAddresses {
			return
		}
		a.estimates[address] = &estimate{mean: took, deviation: took / 2, count: 1}
		return
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / deviationDivisor
	e.mean += (took - e.mean) / meanDivisor
	e.count = min(e.count+1, minAnswers)
}

// Deadline returns the time from which on a request without an answer counts as failed
// at an upstream that had a slot for it.
func (a *AnswerTimes) Deadline(address hickorymodel.SocketAddress) time.Duration {
	e, ok := a.estimates[address]
	if !ok || e.count < minAnswers {
		return maxDeadline
	}
	return min(max(e.mean+deadlineDeviations*e.deviation, minDeadline), maxDeadline)
}
