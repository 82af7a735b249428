package main

func retryBudget(r *run) bool { return false }
