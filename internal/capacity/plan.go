package capacity

// The planned size, from the users' letter.
const (
	planNodes   = 1000
	planBlocks  = 640_000
	planSites   = 130
	planZones   = 25
	planRegions = 8
	planLookups = 570_000 // a second
	planChanges = 1200    // a day
	// planZoneHosts is planNodes spread evenly over the zones.
	planZoneHosts = planNodes / planZones

	budgetCPU   = 3.2 // percent of a core
	budgetBytes = 5_000
	budgetHeap  = 64 // MB
	// budgetInForce is the time in seconds until a change is in force everywhere.
	budgetInForce = 5
)
