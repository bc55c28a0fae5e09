package finding

import (
	"regexp"
	"strconv"
)

// plainName is what a field name may look like to be written after a dot.
var plainName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_-]*$`)

func fieldPath(parent, name string) string {
	if plainName.MatchString(name) {
		return parent + "." + name
	}
	return parent + "[" + strconv.Quote(name) + "]"
}

func indexPath(parent string, index int) string {
	return parent + "[" + strconv.Itoa(index) + "]"
}
