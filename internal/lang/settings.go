package lang

// The names of the settings that blocks have; docs/language.md gives their meaning. The addresses of a worker have the
// names of their networks, and labels any names.
const (
	retriesAfterNoRunSetting = "again-if-not-ran"
	retriesAfterRunSetting   = "again-if-ran"
	latencyObjectiveSetting  = "aim"
	attemptTimeSetting       = "attempt-time"
	attemptsSetting          = "attempts"
	capSetting               = "cap"
	cellSetting              = "cell"
	classSetting             = "class"
	deadlineSetting          = "deadline"
	fallbackSetting          = "fallback"
	frontSetting             = "front"
	functionSetting          = "function"
	idSetting                = "id"
	kindSetting              = "kind"
	likeSetting              = "like"
	loadShareSetting         = "load-orders"
	memorySetting            = "memory"
	memoryAtLeastSetting     = "memory-at-least"
	policySetting            = "policy"
	poolSetting              = "pool"
	preferSetting            = "prefer"
	rejectSetting            = "refuse"
	runsSetting              = "runs"
	sameAsSetting            = "same-as"
	hedgeDelaySetting        = "second-copy-after"
	overflowSetting          = "spill"
	tenantSetting            = "tenant"
	zoneSetting              = "zone"
)
