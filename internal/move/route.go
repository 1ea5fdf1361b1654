package move

import "strings"

// maxRouteSegments is the number of path segments that distinguish routes.
const maxRouteSegments = 3

// RouteOf returns the route of a request: its method and the first segments of
// its path. Segments that contain a digit are replaced by a placeholder, so
// that the ID of a booking does not make a route of its own. A version prefix
// such as v1 is kept.
func RouteOf(method, path string) string {
	path, _, _ = strings.Cut(path, "?")
	segments := strings.Split(strings.Trim(path, "/"), "/")
	segments = segments[:min(len(segments), maxRouteSegments)]
	for i, s := range segments {
		if strings.ContainsAny(s, "0123456789") && !isVersionPrefix(i, s) {
			segments[i] = ":id"
		}
	}
	return method + " /" + strings.Join(segments, "/")
}

func isVersionPrefix(i int, segment string) bool {
	return i == 0 && len(segment) == 2 && segment[0] == 'v'
}
