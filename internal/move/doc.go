// Package move decides how traffic of a service moves from one version to the
// next. Its types do no I/O, start no goroutines and have the time passed in.
//
// The parts, in the order in which a request's answer meets them:
//
//   - Tally counts answers at the process beside the target.
//   - Judge merges the tallies of all targets, compares old and new version
//     side by side and concludes: bad, or cleared up to a level.
//   - VerdictSet is what one process knows of the conclusions; it merges what
//     peers pass on and never goes back.
//   - Declaration.Share is the share of the new version, which all processes
//     compute alike from declaration and knowledge.
//   - Spreader turns a share into choices without overshoot on a rare route.
//   - Next is the state machine of the committed record.
package move
