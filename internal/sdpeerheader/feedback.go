package sdpeerheader

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/savorydeal/savorydeal"
)

// FeedbackHeader holds what a target has stated about itself: on a reply what holds of
// it at its node, on a call what the sender knows from an earlier reply. It is absent if
// nothing holds.
const FeedbackHeader = "Sd-Feedback"

// Feedback is what holds of one start of a target.
type Feedback struct {
	Start savorydeal.TargetStart
	savorydeal.Feedback
	// Age is the time since the sender last received the limit, in whole milliseconds on
	// the wire and at most maxFeedbackAge; 0 on a reply, and without a limit.
	Age time.Duration
}

const (
	feedbackFields = 5
	maxFeedbackAge = 24 * time.Hour
)

// Encode returns the value of FeedbackHeader.
func (f Feedback) Encode() string {
	limit := ""
	if f.Limited {
		limit = strconv.FormatFloat(f.RateLimit, 'g', -1, floatBits)
	}
	return strings.Join([]string{
		url.QueryEscape(f.Start.Identity), strconv.FormatInt(f.Start.Started, 10), limit,
		strconv.FormatBool(f.Leaving), strconv.FormatInt(min(f.Age, maxFeedbackAge).Milliseconds(), 10),
	}, fieldSeparator)
}

// DecodeFeedback parses the value of FeedbackHeader.
func DecodeFeedback(text string) (Feedback, error) {
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != feedbackFields {
		return Feedback{}, fmt.Errorf("feedback %q: want %d fields separated by semicolons", text, feedbackFields)
	}
	identity, err1 := url.QueryUnescape(fields[0])
	started, err2 := strconv.ParseInt(fields[1], 10, 64)
	leaving, err3 := strconv.ParseBool(fields[3])
	age, err4 := strconv.ParseUint(fields[4], 10, 32)
	var limit float64
	var err5 error
	if fields[2] != "" {
		limit, err5 = parseNumber(fields[2])
	}
	for _, err := range []error{err1, err2, err3, err4, err5} {
		if err != nil {
			return Feedback{}, fmt.Errorf("feedback %q: %w", text, err)
		}
	}
	return Feedback{
		Start:    savorydeal.TargetStart{Identity: identity, Started: started},
		Feedback: savorydeal.Feedback{Limited: fields[2] != "", RateLimit: limit, Leaving: leaving},
		Age:      time.Duration(age) * time.Millisecond,
	}, nil
}
