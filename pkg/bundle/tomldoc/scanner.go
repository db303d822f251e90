package tomldoc

import (
	"fmt"
	"strings"
)

// scanner walks a valid TOML document and notes the lines of wanted keys.
type scanner struct {
	text   []byte
	pos    int
	line   int
	prefix string         // key of the current table
	counts map[string]int // tables seen so far of each array of tables
	wanted map[string]int // key to line, 0 until found
}

func (s *scanner) run() {
	for s.pos < len(s.text) {
		switch c := s.text[s.pos]; {
		case c == '\n':
			s.next()
		case c == ' ' || c == '\t' || c == '\r':
			s.pos++
		case c == '#':
			s.skipComment()
		case c == '[':
			s.header()
		default:
			s.assignment()
		}
	}
}

// next moves over one byte and counts lines.
func (s *scanner) next() {
	if s.text[s.pos] == '\n' {
		s.line++
	}
	s.pos++
}

func (s *scanner) skipComment() {
	for s.pos < len(s.text) && s.text[s.pos] != '\n' {
		s.pos++
	}
}

func (s *scanner) note(key string) {
	if line, ok := s.wanted[key]; ok && line == 0 {
		s.wanted[key] = s.line
	}
}

func (s *scanner) header() {
	isArray := strings.HasPrefix(string(s.text[s.pos:min(s.pos+2, len(s.text))]), "[[")
	s.pos++
	if isArray {
		s.pos++
	}
	parts := s.keyUntil(']')
	s.skipComment()
	s.prefix = s.resolve(parts, isArray)
	s.note(s.prefix)
}

// resolve returns the key of a table header, with the index of the latest
// element for each part that is an array of tables.
func (s *scanner) resolve(parts []string, isArray bool) string {
	key := ""
	for i, part := range parts {
		key = join(key, part)
		switch {
		case isArray && i == len(parts)-1:
			s.note(key)
			s.counts[key]++
			key = index(key, s.counts[key]-1)
		case s.counts[key] > 0:
			key = index(key, s.counts[key]-1)
		}
	}
	return key
}

func (s *scanner) assignment() {
	start := s.line
	parts := s.keyUntil('=')
	key := s.prefix
	for _, part := range parts {
		key = join(key, part)
		if line, ok := s.wanted[key]; ok && line == 0 {
			s.wanted[key] = start
		}
	}
	s.value(key)
}

// keyUntil reads a dotted key up to the byte end and moves past it.
func (s *scanner) keyUntil(end byte) []string {
	var parts []string
	var part strings.Builder
	for s.pos < len(s.text) && s.text[s.pos] != end && s.text[s.pos] != '\n' {
		switch c := s.text[s.pos]; c {
		case '.':
			parts = append(parts, part.String())
			part.Reset()
			s.pos++
		case ' ', '\t', '\r':
			s.pos++
		case '"', '\'':
			start := s.pos
			s.skipString()
			part.Write(s.text[start+1 : max(start+1, s.pos-1)])
		default:
			part.WriteByte(c)
			s.pos++
		}
	}
	if s.pos < len(s.text) && s.text[s.pos] == end {
		s.pos++
	}
	return append(parts, part.String())
}

// value skips a value and notes the lines of an array's elements.
func (s *scanner) value(key string) {
	depth, element, fresh := 0, 0, true
	_, elements := s.wanted[key]
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		if depth == 1 && fresh && !strings.ContainsRune(" \t\r\n,]#", rune(c)) {
			if elements {
				s.note(fmt.Sprintf("%s[%d]", key, element))
			}
			fresh = false
		}
		switch c {
		case '\n':
			if depth == 0 {
				return
			}
			s.next()
			continue
		case '#':
			s.skipComment()
			continue
		case '"', '\'':
			s.skipString()
			continue
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 1 {
				element++
				fresh = true
			}
		}
		s.pos++
	}
}

// skipString moves past a string of any of TOML's four forms.
func (s *scanner) skipString() {
	quote := s.text[s.pos]
	triple := strings.Repeat(string(quote), 3)
	long := strings.HasPrefix(string(s.text[s.pos:min(s.pos+3, len(s.text))]), triple)
	s.pos++
	if long {
		s.pos += 2
	}
	for s.pos < len(s.text) {
		switch {
		case quote == '"' && s.text[s.pos] == '\\' && s.pos+1 < len(s.text):
			s.pos++
			s.next()
		case long && strings.HasPrefix(string(s.text[s.pos:min(s.pos+3, len(s.text))]), triple):
			s.pos += 3
			return
		case !long && (s.text[s.pos] == quote || s.text[s.pos] == '\n'):
			if s.text[s.pos] == quote {
				s.pos++
			}
			return
		default:
			s.next()
		}
	}
}
