package operator

import (
	"bytes"
	"fmt"

	"ivydeck/internal/pkg/msgpackreader"
)

// errNested is returned for a file whose values are nested deeper than any configuration may be.
var errNested = fmt.Errorf("a value or key is nested more than %d levels deep", msgpackreader.MaxDepth)

// checkTOMLDepth returns errNested for a TOML document with arrays, inline tables or dotted keys of too many levels. The
// decoder recurses once per level of a value, and takes time in proportion to the square of the parts of a key.
func checkTOMLDepth(text []byte) error {
	brackets, keyParts := 0, 1
	for len(text) > 0 {
		if size := opaqueSize(text); size > 0 {
			text = text[size:]
			continue
		}
		switch text[0] {
		case '[', '{':
			brackets++
			keyParts = 1
		case ']', '}':
			brackets = max(0, brackets-1)
		case '.':
			keyParts++
		case '\n', ',', '=':
			keyParts = 1
		}
		if brackets > msgpackreader.MaxDepth || keyParts > msgpackreader.MaxDepth {
			return errNested
		}
		text = text[1:]
	}
	return nil
}

// opaqueSize returns the size of the comment or string at the start of a TOML text, or 0 if there is none. A string without an
// end extends to the end of its line, or of the text if it may have several lines.
func opaqueSize(text []byte) int {
	switch {
	case text[0] == '#':
		return lineSize(text)
	case bytes.HasPrefix(text, []byte(`"""`)), bytes.HasPrefix(text, []byte(`'''`)):
		return stringSize(text, text[:3], text)
	case text[0] == '"', text[0] == '\'':
		return stringSize(text, text[:1], text[:lineSize(text)])
	}
	return 0
}

// lineSize returns the size of the first line of a text, without its end.
func lineSize(text []byte) int {
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return end
	}
	return len(text)
}

// stringSize returns the size of the string at the start of a text, which begins and ends with delimiter. extent is the part
// of the text that the string may take.
func stringSize(text, delimiter, extent []byte) int {
	for i := len(delimiter); i < len(extent); i++ {
		switch {
		case text[i] == '\\' && delimiter[0] == '"':
			i++
		case bytes.HasPrefix(text[i:], delimiter):
			return i + len(delimiter)
		}
	}
	return len(extent)
}
