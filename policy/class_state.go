package policy

import "crankhold/internal/stats"

// classState holds the settings of a class and the estimates from the responses to its requests.
type classState struct {
	Class
	run stats.RunningMean // run time of requests that waited for no load, in nanoseconds

	// Sums of measured work and of the work in the hints of requests, in nanoseconds. They start equal, so a
	// hint is used unchanged until responses have been measured.
	measuredWorkSum float64
	hintedWorkSum   float64
}

// newClassStates returns the classes of the settings with initial estimates of their run times.
func newClassStates(classes []Class) []classState {
	var states []classState
	for _, c := range classes {
		run := initialRunRatio * float64(c.LatencyObjective)
		sum := runPriorWeight * run
		states = append(states, classState{
			Class:           c,
			run:             stats.RunningMean{Mean: run},
			measuredWorkSum: sum,
			hintedWorkSum:   sum,
		})
	}
	return states
}
