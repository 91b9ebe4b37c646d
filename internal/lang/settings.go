package lang

// The names of the settings that blocks have; docs/language.md gives their meaning. The addresses of a worker have the
// names of their networks, and labels any names.
const (
	againIfNotRanSetting   = "again-if-not-ran"
	againIfRanSetting      = "again-if-ran"
	aimSetting             = "aim"
	attemptTimeSetting     = "attempt-time"
	attemptsSetting        = "attempts"
	capSetting             = "cap"
	cellSetting            = "cell"
	classSetting           = "class"
	deadlineSetting        = "deadline"
	fallbackSetting        = "fallback"
	frontSetting           = "front"
	functionSetting        = "function"
	idSetting              = "id"
	kindSetting            = "kind"
	likeSetting            = "like"
	loadOrdersSetting      = "load-orders"
	memorySetting          = "memory"
	memoryAtLeastSetting   = "memory-at-least"
	policySetting          = "policy"
	poolSetting            = "pool"
	preferSetting          = "prefer"
	refuseSetting          = "refuse"
	runsSetting            = "runs"
	sameAsSetting          = "same-as"
	secondCopyAfterSetting = "second-copy-after"
	spillSetting           = "spill"
	tenantSetting          = "tenant"
	zoneSetting            = "zone"
)
