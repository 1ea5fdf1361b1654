package main

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// runs is how often each measurement is made.
const runs = 3

// point is one measurement: y at a size x.
type point struct{ x, y float64 }

// slope is a straight line through measurements of one quantity.
type slope struct {
	name string
	// unit of the quantity and what the size counts.
	unit, per string
	points    []point
	// claim is the size that the page extrapolates to.
	claim float64
}

// fit returns the line of least squares through the points.
func (s slope) fit() (intercept, gradient float64) {
	n := float64(len(s.points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.points {
		sumX += p.x
		sumY += p.y
		sumXX += p.x * p.x
		sumXY += p.x * p.y
	}
	gradient = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return (sumY - gradient*sumX) / n, gradient
}

// at returns the line's value at a size.
func (s slope) at(x float64) float64 {
	intercept, gradient := s.fit()
	return intercept + gradient*x
}

// spread returns the widest relative distance between runs at one size.
func (s slope) spread() float64 {
	bySize := make(map[float64][]float64)
	for _, p := range s.points {
		bySize[p.x] = append(bySize[p.x], p.y)
	}
	widest := 0.0
	for _, ys := range bySize {
		low, high := slices.Min(ys), slices.Max(ys)
		if mean := (low + high) / 2; mean != 0 {
			widest = max(widest, (high-low)/math.Abs(mean))
		}
	}
	return widest
}

// sizes returns the smallest and largest size measured.
func (s slope) sizes() (low, high float64) {
	low, high = s.points[0].x, s.points[0].x
	for _, p := range s.points {
		low, high = min(low, p.x), max(high, p.x)
	}
	return low, high
}

// row returns the slope as a row of the table.
func (s slope) row() string {
	intercept, gradient := s.fit()
	low, high := s.sizes()
	kind := "measured"
	if s.claim > high {
		kind = "extrapolated"
	}
	return fmt.Sprintf("| %s | %s | %s | %s to %s | %s + %s × size | %s at %s (%s) | %.0f %% |",
		s.name, s.unit, s.per, number(low), number(high), number(intercept), number(gradient),
		number(s.at(s.claim)), number(s.claim), kind, 100*s.spread())
}

// number formats a value to three digits without an exponent.
func number(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e15 {
		return fmt.Sprintf("%.0f", v)
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	return fmt.Sprintf("%.*f", max(0, digits), v)
}

// table returns the slopes as a Markdown table.
func table(slopes []slope) string {
	var b strings.Builder
	b.WriteString("| quantity | unit | size counts | sizes measured | line | at the size to design for | spread of the runs |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range slopes {
		b.WriteString(s.row())
		b.WriteByte('\n')
	}
	return b.String()
}
