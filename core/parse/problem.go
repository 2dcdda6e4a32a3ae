package parse

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	File  string `json:"file"`
	Line  int    `json:"line"`
	Field string `json:"field"`
	// Message describes the error and, where possible, what is valid.
	Message string `json:"message"`
}

// String formats the problem as file:line: field: message.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// Problems collects the problems of a file and the line of each field.
type Problems struct {
	file  string
	lines map[string]int
	list  []Problem
}

// Add adds a problem with the field at a path such as customers[2].name.
func (ps *Problems) Add(field, format string, args ...any) {
	ps.addAt(ps.line(field), field, fmt.Sprintf(format, args...))
}

func (ps *Problems) addAt(line int, field, msg string) {
	ps.list = append(ps.list, Problem{File: ps.file, Line: line, Field: field, Message: msg})
}

// line returns the line of a field, or of the innermost enclosing field with a known line.
func (ps *Problems) line(field string) int {
	for {
		if n, ok := ps.lines[field]; ok {
			return n
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			return max(ps.lines[""], 1)
		}
		field = field[:i]
	}
}

// Err returns an *Error with all problems, sorted by line, or nil if there are none.
func (ps *Problems) Err() error {
	if len(ps.list) == 0 {
		return nil
	}
	list := slices.Clone(ps.list)
	slices.SortStableFunc(list, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &Error{Problems: list}
}

// Error is the error of a file with problems.
type Error struct {
	Problems []Problem
}

// Error implements error. The text has one line per problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
