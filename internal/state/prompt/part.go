package prompt

// Part is a sequence of prompt tokens that several requests may have in common.
type Part struct {
	ID     string
	Tokens int
}

// IDs returns the identifiers of parts.
func IDs(parts []Part) []string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return ids
}
