package room

// A refusal is full evidence on its server up to a share rareRefusals of refusals in its service, and none from commonRefusals on.
const (
	rareRefusals   = 0.25
	commonRefusals = 0.5
)

// RefusalWeight returns the weight of a refusal as evidence that its server is worse than the others, if they refuse share of all
// requests to the service. Where most servers refuse, refusals would hide which of them also fail what they run, and send requests to
// distant servers that refuse as often.
func RefusalWeight(share float64) float64 {
	return min(1, max(0, (commonRefusals-share)/(commonRefusals-rareRefusals)))
}
