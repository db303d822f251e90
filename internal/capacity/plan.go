package capacity

// The planned size that the users stated, and the budgets that apply to it.
const (
	planNodes   = 1000
	planBlocks  = 640_000
	planSites   = 130
	planZones   = 25
	planRegions = 8
	planLookups = 570_000 // a second
	planChanges = 1200    // a day
	// planZoneHosts is the number of hosts in a zone if planNodes are spread evenly.
	planZoneHosts = planNodes / planZones

	budgetCPU   = 3.2   // percent of a core
	budgetBytes = 5_000 // bytes a second of control traffic for each host
	budgetHeap  = 64    // MB
	// budgetInForce is the time in seconds until a bundle change is in force on all
	// hosts.
	budgetInForce = 5
)
