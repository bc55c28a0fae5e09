package finding

import (
	"regexp"
	"strconv"
)

// plainNamePattern matches field names that a path contains in dot notation. All
// others are written quoted, in brackets.
var plainNamePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_-]*$`)

// fieldPath returns the JSON path of a field of the object at parent.
func fieldPath(parent, name string) string {
	if plainNamePattern.MatchString(name) {
		return parent + "." + name
	}
	return parent + "[" + strconv.Quote(name) + "]"
}

// indexPath returns the JSON path of an entry of the array at parent.
func indexPath(parent string, index int) string {
	return parent + "[" + strconv.Itoa(index) + "]"
}
