package main

import (
	"io"
	"os"
	"strings"
)

func readFile(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		fatal("%v", err)
	}
	return string(raw)
}

func stringBody(text string) io.Reader { return strings.NewReader(text) }
