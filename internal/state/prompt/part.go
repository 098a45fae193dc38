package prompt

// Part is a sequence of prompt tokens that several requests may have in common.
type Part struct {
	ID     string
	Tokens int
}
