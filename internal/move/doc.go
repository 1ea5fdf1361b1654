// Package move decides how traffic of a service moves from one version to the
// next. Its types do no I/O, start no goroutines and take the time as a
// parameter.
//
// The parts, in the order in which they process the answer to a request:
//
//   - Tally counts answers at the process beside the target.
//   - Judge merges the tallies of all targets, compares the old and the new
//     version side by side and concludes: bad, or cleared up to a level.
//   - VerdictSet holds the verdicts that one process has; it merges the verdicts
//     of peers and never reverts one.
//   - Declaration.Share is the share of the new version. Processes with the same
//     declaration and verdict compute the same share.
//   - Spreader turns a share into choices without overshoot on a rare route.
//   - Next is the state machine of the committed record.
package move
