package syntax

// includeKeyword is the word that begins an include. Includes are allowed only at the top level of a file.
const includeKeyword = "include"

// parseEntry parses an include, a block or a setting. It returns nil if a fault prevents that.
func (p *parser) parseEntry(depth int) Entry {
	pos := p.token.pos
	if p.token.kind != wordToken {
		if depth == 0 {
			p.reportExpected("a block or an include")
		} else {
			p.reportExpected("a setting or a block")
		}
		return nil
	}
	word := p.token.raw
	p.advance()
	switch {
	case depth == 0 && word == includeKeyword:
		return p.parseInclude(pos)
	case depth == 0 && p.token.isPunctuation("="):
		p.reportFault(pos, "setting %s is outside of any block", word)
		p.skipLine()
		return nil
	case p.token.isPunctuation("="):
		p.advance()
		return p.parseSetting(pos, word)
	default:
		return p.parseBlock(pos, word, depth)
	}
}

// parseInclude parses the rest of an include, after its keyword.
func (p *parser) parseInclude(pos Pos) Entry {
	if p.token.kind != stringToken {
		p.reportExpected("a file path in quotes")
		return nil
	}
	return &Include{At: pos, Path: p.parseValue()}
}

// parseBlock parses the rest of a block, after its keyword.
func (p *parser) parseBlock(pos Pos, keyword string, depth int) Entry {
	b := &Block{At: pos, Keyword: keyword}
	if p.token.kind == stringToken {
		label := p.parseValue()
		b.Label = &label
	}
	if !p.token.isPunctuation("{") {
		if b.Label == nil && depth > 0 {
			p.reportExpected("= or {")
		} else {
			p.reportExpected("{")
		}
		return nil
	}
	if depth+1 > MaxDepth {
		p.reportFault(pos, "blocks are nested more than %d deep; the rest of the file was not read", MaxDepth)
		p.stop(pos)
		return nil
	}
	p.advance()
	b.OpenComment = p.takeComment()
	p.skipNewline()
	b.Entries, b.TrailingComments = p.parseEntries(depth + 1)
	if !p.token.isPunctuation("}") {
		p.reportFault(pos, "the block %s is not closed", keyword)
		return b
	}
	p.advance()
	return b
}

// parseSetting parses a setting's values, after the equals sign. After a comma, the list may continue on the next line.
func (p *parser) parseSetting(pos Pos, name string) Entry {
	s := &Setting{At: pos, Name: name}
	for {
		var comments []Comment
		startsLine := false
		if len(s.Values) > 0 {
			comments, startsLine = p.skipLineBreaks()
		}
		if !p.token.isValue() {
			p.reportExpected("a value")
			return nil
		}
		v := p.parseValue()
		v.leadingComments = comments
		v.startsLine = startsLine
		last := !p.token.isPunctuation(",")
		if !last {
			p.advance()
			v.lineComment = p.takeComment()
		}
		s.Values = append(s.Values, v)
		if last {
			return s
		}
	}
}

// skipLineBreaks skips line ends and comments within a list. It returns the comments, and whether it skipped anything.
func (p *parser) skipLineBreaks() (comments []Comment, skipped bool) {
	for p.token.kind == newlineToken || p.token.kind == commentToken {
		if p.token.kind == commentToken {
			comments = append(comments, Comment{Text: p.token.raw})
		}
		skipped = true
		p.advance()
	}
	return comments, skipped
}

// valueKinds maps the kinds of tokens that are values to the kinds of those values.
var valueKinds = map[tokenKind]ValueKind{stringToken: StringValue, quantityToken: QuantityValue, wordToken: WordValue}

// parseValue consumes the current token, which must be a value.
func (p *parser) parseValue() Value {
	v := Value{At: p.token.pos, Raw: p.token.raw, Kind: valueKinds[p.token.kind]}
	p.advance()
	return v
}
