package identifier

import "regexp"

var teamPattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// ValidTeam reports whether a team name is valid: a letter or digit, then up to
// 63 letters, digits, dots, hyphens and underscores.
func ValidTeam(team Team) bool { return teamPattern.MatchString(string(team)) }
