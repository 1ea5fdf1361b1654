package main

// measurements lists all slopes in the order of the page.
var measurements = []measurement{
	{"configuration in force, memory", measurePerAccount},
	{"placing one reservation, bytes both ways", measureReserve},
	{"a claim that finds the request gone, bytes both ways", measureClaim},
}
