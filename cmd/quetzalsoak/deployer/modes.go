package deployer

import "github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/proxier"

var (
	sound  = proxier.Mode{}
	refuse = proxier.Mode{Refuse: true}
)
