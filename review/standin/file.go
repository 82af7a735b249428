package main

import "os"

func readFile(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		fatal("%v", err)
	}
	return string(raw)
}
