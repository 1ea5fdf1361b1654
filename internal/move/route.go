package move

import "strings"

// routeSegments is how many segments of a path tell routes apart.
const routeSegments = 3

// RouteOf returns the route of a request: its method and the beginning of its
// path, in which segments that contain a digit stand for any such segment, so
// that the identity of a booking makes no route of its own. A version prefix
// such as v1 is kept.
func RouteOf(method, path string) string {
	path, _, _ = strings.Cut(path, "?")
	segments := strings.Split(strings.Trim(path, "/"), "/")
	segments = segments[:min(len(segments), routeSegments)]
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
