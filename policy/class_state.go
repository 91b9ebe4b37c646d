package policy

import "crankhold/internal/stats"

// classState is a class of the settings with what has been measured of its requests.
type classState struct {
	Class
	run stats.RunningMean // of responses without a load, in nanoseconds

	// Sums of measured work and of the work that requests hinted at, in nanoseconds. They begin alike: a hint
	// counts as it is until responses say otherwise.
	measuredWorkSum float64
	hintedWorkSum   float64
}

// newClassStates returns the classes of the settings, with a first guess of their runs.
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
