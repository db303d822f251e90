package tomldoc

import (
	"fmt"
	"strings"
)

// scanner scans a valid TOML document and records the lines of wanted keys.
type scanner struct {
	text   []byte
	pos    int            // offset of the next byte
	line   int            // 1-based line of pos
	prefix string         // key of the current table
	counts map[string]int // number of tables seen so far in each array of tables
	wanted map[string]int // line by key, 0 until found
}

func (s *scanner) run() {
	for s.pos < len(s.text) {
		switch c := s.text[s.pos]; {
		case c == '\n':
			s.advance()
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

// advance skips one byte and counts lines.
func (s *scanner) advance() {
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

// recordLine records the current line as that of a wanted key that has none yet.
func (s *scanner) recordLine(key string) {
	if line, ok := s.wanted[key]; ok && line == 0 {
		s.wanted[key] = s.line
	}
}

// header reads a table header, [a.b] or [[a.b]].
func (s *scanner) header() {
	isArray := strings.HasPrefix(string(s.text[s.pos:min(s.pos+2, len(s.text))]), "[[")
	s.pos++
	if isArray {
		s.pos++
	}
	parts := s.keyUntil(']')
	s.skipComment()
	s.prefix = s.resolve(parts, isArray)
	s.recordLine(s.prefix)
}

// resolve returns the key of a table header. Each part that is an array of tables
// gets the index of its latest element.
func (s *scanner) resolve(parts []string, isArray bool) string {
	key := ""
	for i, part := range parts {
		key = join(key, part)
		switch {
		case isArray && i == len(parts)-1:
			s.recordLine(key)
			s.counts[key]++
			key = index(key, s.counts[key]-1)
		case s.counts[key] > 0:
			key = index(key, s.counts[key]-1)
		}
	}
	return key
}

// assignment reads a key with its value.
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

// keyUntil reads a dotted key up to the byte end, skips that byte and returns the
// parts of the key.
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

// value skips the value of key and, if it is an array, records the lines of its
// elements.
func (s *scanner) value(key string) {
	depth, element, elementStart := 0, 0, true
	_, elements := s.wanted[key]
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		if depth == 1 && elementStart && !strings.ContainsRune(" \t\r\n,]#", rune(c)) {
			if elements {
				s.recordLine(fmt.Sprintf("%s[%d]", key, element))
			}
			elementStart = false
		}
		switch c {
		case '\n':
			if depth == 0 {
				return
			}
			s.advance()
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
				elementStart = true
			}
		}
		s.pos++
	}
}

// skipString skips a string: basic or literal, on one line or several.
func (s *scanner) skipString() {
	quote := s.text[s.pos]
	triple := strings.Repeat(string(quote), 3)
	multiline := strings.HasPrefix(string(s.text[s.pos:min(s.pos+3, len(s.text))]), triple)
	s.pos++
	if multiline {
		s.pos += 2
	}
	for s.pos < len(s.text) {
		switch {
		case quote == '"' && s.text[s.pos] == '\\' && s.pos+1 < len(s.text):
			s.pos++
			s.advance()
		case multiline && strings.HasPrefix(string(s.text[s.pos:min(s.pos+3, len(s.text))]), triple):
			s.pos += 3
			return
		case !multiline && (s.text[s.pos] == quote || s.text[s.pos] == '\n'):
			if s.text[s.pos] == quote {
				s.pos++
			}
			return
		default:
			s.advance()
		}
	}
}
