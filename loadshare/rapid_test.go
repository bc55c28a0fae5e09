package loadshare

import "github.com/figweir/figweir/standin/propertytest"

func init() { propertytest.Fix(map[string]string{"rapid.checks": "300"}) }
