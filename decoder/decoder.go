// Package decoder encodes and decodes JSON. Decode is strict and accepts comments:
// it rejects unknown fields, and its errors name the file, the line and the field.
package decoder

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"
)

// FieldError reports an invalid value in a document, and its location.
type FieldError struct {
	// File is the name of the document.
	File string
	// Line is the line number, starting at 1.
	Line int
	// Field is the JSON pointer of the value, such as "/profiles/0/class". It is
	// empty for the whole document.
	Field string
	// Reason tells what is wrong with the value.
	Reason string
}

// Error returns "file:line: field: reason".
func (e *FieldError) Error() string {
	field := e.Field
	if field == "" {
		field = "document"
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, field, e.Reason)
}

// Document is a decoded text with the positions of its values. It locates errors
// that the caller finds after decoding.
type Document struct {
	file string
	text []byte
	root hujson.Value
}

// Decode decodes text into target. It returns the document, with which the caller
// can report errors in the values. Errors are of type *FieldError.
func Decode(file string, text []byte, target any) (doc *Document, err error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, &FieldError{File: file, Line: syntaxLine(err), Reason: err.Error()}
	}
	root.UpdateOffsets()
	doc = &Document{file: file, text: text, root: root}
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, &FieldError{File: file, Line: 1, Reason: err.Error()}
	}
	err = json.Unmarshal(standard, target, json.RejectUnknownMembers(true), durationsAsText)
	if err != nil {
		return nil, doc.fieldError(err)
	}
	return doc, nil
}

// Errorf returns an error about the value at a JSON pointer.
func (d *Document) Errorf(pointer, format string, args ...any) *FieldError {
	return &FieldError{
		File:   d.file,
		Line:   d.line(pointer),
		Field:  pointer,
		Reason: fmt.Sprintf(format, args...),
	}
}

// line returns the line of the value at a JSON pointer. If there is no such
// value, it returns the line of the nearest ancestor.
func (d *Document) line(pointer string) int {
	for pointer != "" {
		value := d.root.Find(pointer)
		if value != nil {
			return lineAt(d.text, int64(value.StartOffset))
		}
		pointer = pointer[:bytes.LastIndexByte([]byte(pointer), '/')]
	}
	return lineAt(d.text, int64(d.root.StartOffset))
}

// fieldError converts a decoding error to a *FieldError.
func (d *Document) fieldError(err error) *FieldError {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return d.Errorf(string(semantic.JSONPointer), "%s", semanticReason(semantic))
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return d.Errorf(string(syntactic.JSONPointer), "%s", syntactic.Err)
	}
	return d.Errorf("", "%s", err)
}

// semanticReason returns the reason for a FieldError. It leaves out the details that
// other fields of the FieldError have.
func semanticReason(err *json.SemanticError) string {
	if errors.Is(err.Err, json.ErrUnknownName) {
		return "unknown field"
	}
	if err.Err != nil {
		return fmt.Sprintf("cannot use JSON %s: %s", err.JSONKind, err.Err)
	}
	return fmt.Sprintf("cannot use JSON %s as %s", err.JSONKind, err.GoType)
}

// syntaxLine returns the line in an error of hujson, such as "hujson: line 3,
// column 5: invalid character", or 1 if it has none.
func syntaxLine(err error) int {
	line := 1
	_, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d,", &line)
	if scanErr != nil {
		return 1
	}
	return line
}

// lineAt returns the line number of a byte offset in text.
func lineAt(text []byte, offset int64) int {
	offset = min(offset, int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}
