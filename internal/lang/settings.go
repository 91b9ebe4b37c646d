package lang

// The names of the settings of blocks; docs/language.md describes them. Not listed are the addresses of a worker, which
// are named after their networks, and labels, which may have any name.
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
