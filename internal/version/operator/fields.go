package operator

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// object is a mapping of the file with the places of its keys.
type object struct {
	rdr    *reader
	path   string
	start  *token.Token
	fields map[string]field
}

type field struct {
	key   *token.Token
	value ast.Node
}

// object reads a mapping; keys that are not allowed are findings. No allowed key stands for any.
func (rdr *reader) object(nod ast.Node, path string, allowed ...string) object {
	obj := object{rdr: rdr, path: path, start: nod.GetToken(), fields: make(map[string]field)}
	var vls []*ast.MappingValueNode
	switch mpp := nod.(type) {
	case *ast.MappingNode:
		vls = mpp.Values
	case *ast.MappingValueNode:
		vls = []*ast.MappingValueNode{mpp}
	default:
		rdr.add(nod.GetToken(), path, "is not a mapping")
		return obj
	}
	for _, val := range vls {
		obj.take(val, allowed)
	}
	return obj
}

func (obj object) take(val *ast.MappingValueNode, allowed []string) {
	tok := val.Key.GetToken()
	if tok == nil {
		obj.rdr.add(obj.start, obj.path, "has a key that is not plain text")
		return
	}
	nam := tok.Value
	if len(allowed) > 0 && !slices.Contains(allowed, nam) {
		obj.rdr.add(tok, obj.sub(nam), "unknown key; known are %s", strings.Join(allowed, ", "))
		return
	}
	if _, ok := obj.fields[nam]; ok {
		obj.rdr.add(tok, obj.sub(nam), "is there twice")
		return
	}
	obj.fields[nam] = field{key: tok, value: val.Value}
	obj.rdr.places[obj.sub(nam)] = val.Value.GetToken()
}

func (obj object) sub(name string) string {
	if obj.path == "" {
		return name
	}
	return obj.path + "." + name
}

func (obj object) has(name string) bool {
	_, ok := obj.fields[name]
	return ok
}

func (obj object) require(names ...string) {
	for _, nam := range names {
		if !obj.has(nam) {
			obj.rdr.add(obj.start, obj.sub(nam), "is missing")
		}
	}
}

// child reads the mapping under a key; an empty one if the key is not there.
func (obj object) child(name string, allowed ...string) object {
	fld, ok := obj.fields[name]
	if !ok {
		return object{rdr: obj.rdr, path: obj.sub(name), start: obj.start}
	}
	return obj.rdr.object(fld.value, obj.sub(name), allowed...)
}

func (obj object) wrong(name, want string) {
	fld := obj.fields[name]
	obj.rdr.add(fld.value.GetToken(), obj.sub(name), "%q is not %s", scalarText(fld.value), want)
}

func scalarText(nod ast.Node) string {
	if tok := nod.GetToken(); tok != nil {
		return tok.Value
	}
	return ""
}

func (obj object) text(name string) string {
	fld, ok := obj.fields[name]
	if !ok {
		return ""
	}
	str, ok := fld.value.(*ast.StringNode)
	if !ok {
		obj.wrong(name, "text")
		return ""
	}
	return str.Value
}

func (obj object) boolean(name string) bool {
	fld, ok := obj.fields[name]
	if !ok {
		return false
	}
	bln, ok := fld.value.(*ast.BoolNode)
	if !ok {
		obj.wrong(name, "true or false")
		return false
	}
	return bln.Value
}

func (obj object) whole(name string, limit uint64) uint64 {
	fld, ok := obj.fields[name]
	if !ok {
		return 0
	}
	num, ok := fld.value.(*ast.IntegerNode)
	if !ok {
		obj.wrong(name, "a whole number")
		return 0
	}
	val, ok := num.Value.(uint64)
	if sgn, isSigned := num.Value.(int64); isSigned && sgn >= 0 {
		val, ok = uint64(sgn), true
	}
	if !ok || val > limit {
		obj.wrong(name, "a whole number from 0 to "+strconv.FormatUint(limit, 10))
		return 0
	}
	return val
}

func (obj object) count(name string) uint32 { return uint32(obj.whole(name, math.MaxUint32)) }

func (obj object) number(name string) float64 {
	fld, ok := obj.fields[name]
	if !ok {
		return 0
	}
	switch num := fld.value.(type) {
	case *ast.FloatNode:
		return num.Value
	case *ast.IntegerNode:
		return float64(obj.whole(name, math.MaxUint32))
	default:
		obj.wrong(name, "a number")
		return 0
	}
}

func (obj object) duration(name string) time.Duration {
	if !obj.has(name) {
		return 0
	}
	str, ok := obj.fields[name].value.(*ast.StringNode)
	if !ok {
		obj.wrong(name, "a duration such as 120ms")
		return 0
	}
	dur, err := time.ParseDuration(str.Value)
	if err != nil {
		obj.wrong(name, "a duration such as 120ms")
		return 0
	}
	return dur
}

// byteUnits are the suffixes that sizes are written with.
var byteUnits = []struct {
	suffix string
	factor uint64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}}

const maxMemory = 1 << 50

func (obj object) size(name string) uint64 {
	if !obj.has(name) {
		return 0
	}
	str, ok := obj.fields[name].value.(*ast.StringNode)
	if !ok {
		return obj.whole(name, maxMemory)
	}
	val, ok := parseSize(str.Value)
	if !ok {
		obj.wrong(name, "a size such as 512MiB")
	}
	return val
}

func parseSize(txt string) (uint64, bool) {
	for _, unt := range byteUnits {
		num, ok := strings.CutSuffix(txt, unt.suffix)
		if !ok {
			continue
		}
		val, err := strconv.ParseUint(strings.TrimSpace(num), 10, 64)
		if err != nil || val > maxMemory/unt.factor {
			return 0, false
		}
		return val * unt.factor, true
	}
	return 0, false
}
