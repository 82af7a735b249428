// Package annotator adds context to errors.
package annotator

import "fmt"

// Annotate adds what was being done to an error, if there is one. It is meant
// for a deferred call with a named result:
//
//	defer annotator.Annotate(&err, "read %s", name)
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf(format+": %w", append(args, *err)...)
	}
}
