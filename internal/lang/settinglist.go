package lang

import "crankhold/internal/lang/syntax"

// setting is a setting of a block. A setting without a valid value has a position but no values.
type setting struct {
	name   string
	pos    syntax.Pos
	values []value
}

// maxUnindexedSettings is the length from which on a settingList has an index. Most blocks have a few settings, of
// which a map would take many times the memory.
const maxUnindexedSettings = 16

// settingList holds the settings of a block in the order of the file.
type settingList struct {
	list  []*setting
	index map[string]*setting // by name; nil while the list is short
}

// find returns the setting of a name, or nil.
func (l *settingList) find(name string) *setting {
	if l.index != nil {
		return l.index[name]
	}
	for _, s := range l.list {
		if s.name == name {
			return s
		}
	}
	return nil
}

// add adds a setting, whose name must be new.
func (l *settingList) add(name string, pos syntax.Pos) *setting {
	s := &setting{name: name, pos: pos}
	l.list = append(l.list, s)
	switch {
	case l.index != nil:
		l.index[name] = s
	case len(l.list) > maxUnindexedSettings:
		l.index = map[string]*setting{}
		for _, s := range l.list {
			l.index[s.name] = s
		}
	}
	return s
}
