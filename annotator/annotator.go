// Package annotator adds context to errors.
package annotator

import "fmt"

// Annotate wraps *err with a description of the failed operation, unless it is nil.
// Use it in a deferred call with a named result:
//
//	defer annotator.Annotate(&err, "read %s", name)
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf(format+": %w", append(args, *err)...)
	}
}
