package gateway

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

// wireFormats are what hosts send each other and keep in the store.
var wireFormats = map[string]any{"message": peerlink.Message{}, "state": follow.State{}, "hosts in the store": []peers.Host{},
	"quarantine in the store": []storedVerdict{}, "request of a hop": detour.HopRequest{}, "result of a hop": detour.HopResult{}}

// reservedFields are the fields that builds after 94d2088 may add, by format: the numbers on the way to each. What is below them is new too. The first five of
// a message and the one of a hop are those of docs/design/customers-zones-overload.md section 4.8; ratelimit.Statement 5 (cold endpoints), in a
// message's statements, requests and grants, was added beyond them, with a number that was never used, and so were the
// versions of configurations: peers.Status 9 and detour.HopResult 6, ends that are held back: quarantine.Update 4, copies with newer pages:
// follow.FeedState 9, and copies without all keys: follow.FeedState 10.
var reservedFields = map[string][]string{"message": {".13", ".14", ".2.8", ".9.7", ".10.6", ".8.5", ".9.5.5", ".10.5.5", ".2.9", ".11.4"}, "request of a hop": {".10"},
	"result of a hop": {".6"}, "state": {".2.9", ".2.10"}}

// wireFormat is a value of a format as a build has encoded it, with all fields that the build knows.
type wireFormat struct {
	Fields  []string `json:"fields"` // the numbers on the way to each field
	Encoded string   `json:"encoded"`
}

// wireFormatsFile holds the formats of 94d2088. This test wrote it there, with WIRE_FORMATS=write.
const wireFormatsFile = "testdata/wire-94d2088.json"

var address = reflect.TypeFor[netip.Addr]()

// fieldKey returns the key of a struct field in the encoding, and false for one that is not encoded.
func fieldKey(f reflect.StructField) (string, bool) {
	key, _, _ := strings.Cut(f.Tag.Get("cbor"), ",")
	return key, f.IsExported() && key != "-"
}

// fill sets a value to one that follows from its path. Fields that known does not have stay zero, unless it is nil. The result lists the fields.
func fill(v reflect.Value, path string, known []string) (fields []string) {
	h := fnv.New32a()
	h.Write([]byte(path))
	number := int64(1 + h.Sum32()%100)
	switch {
	case v.Type() == address:
		v.Set(reflect.ValueOf(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)})))
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return fill(v.Elem(), path, known)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			key, encoded := fieldKey(v.Type().Field(i))
			if field := path + "." + key; encoded && (known == nil || slices.Contains(known, field)) {
				fields = append(append(fields, field), fill(v.Field(i), field, known)...)
			}
		}
	case v.Type() == reflect.TypeFor[[]byte]():
		v.SetBytes([]byte(path))
	case v.Kind() == reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		return fill(v.Index(0), path, known)
	case v.Kind() == reflect.Array:
		reflect.Copy(v, reflect.ValueOf(slices.Repeat([]byte{byte(number)}, v.Len())))
	case v.Kind() == reflect.String:
		v.SetString("v" + path)
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(number)
	case v.CanUint():
		v.SetUint(uint64(number))
	case v.CanFloat():
		v.SetFloat(float64(number) + 0.5)
	default:
		panic(fmt.Sprint("no value for ", v.Type()))
	}
	return fields
}

// typeBefore returns a type with the fields of t that known has: that of the build which knew only these.
func typeBefore(t reflect.Type, path string, known []string) reflect.Type {
	switch {
	case t == address:
		return t
	case t.Kind() == reflect.Pointer:
		return reflect.PointerTo(typeBefore(t.Elem(), path, known))
	case t.Kind() == reflect.Slice:
		return reflect.SliceOf(typeBefore(t.Elem(), path, known))
	case t.Kind() == reflect.Struct:
		var fields []reflect.StructField
		for i := range t.NumField() {
			f := t.Field(i)
			if key, encoded := fieldKey(f); encoded && slices.Contains(known, path+"."+key) {
				fields = append(fields, reflect.StructField{Name: f.Name, Tag: f.Tag, Type: typeBefore(f.Type, path+"."+key, known)})
			}
		}
		return reflect.StructOf(fields)
	}
	return t
}

// TestWireFormatsOfOlderBuild guards against hosts of the landed build 94d2088 and of this one that do not understand each other, or do not understand what
// the other has written to the store: fields that are gone or have another number or type, new ones that are sent although they state nothing or keep the
// others from being read, and numbers that are not reserved.
func TestWireFormatsOfOlderBuild(t *testing.T) {
	if os.Getenv("WIRE_FORMATS") == "write" {
		writeWireFormats(t)
	}
	data, err := os.ReadFile(wireFormatsFile)
	if err != nil {
		t.Fatal(err)
	}
	var older map[string]wireFormat
	if err := json.Unmarshal(data, &older); err != nil {
		t.Fatal(err)
	}
	for name, zero := range wireFormats {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := older[name]
			encoded, err := hex.DecodeString(before.Encoded)
			is.NoErr(err)
			format := reflect.TypeOf(zero)

			want, got := reflect.New(format), reflect.New(format)
			fields := fill(want.Elem(), "", before.Fields)
			is.Equal(fields, before.Fields) // no field is gone or has another number
			is.NoErr(cbor.Unmarshal(encoded, got.Interface()))
			is.True(reflect.DeepEqual(got.Elem().Interface(), want.Elem().Interface())) // this build reads what the older one has written
			again, err := cbor.Marshal(want.Elem().Interface())
			is.NoErr(err)
			is.Equal(hex.EncodeToString(again), before.Encoded) // what states nothing new is written as before

			full := reflect.New(format)
			for _, field := range fill(full.Elem(), "", nil) {
				isReserved := func(prefix string) bool { return field == prefix || strings.HasPrefix(field, prefix+".") }
				if !slices.Contains(before.Fields, field) && !slices.ContainsFunc(reservedFields[name], isReserved) {
					t.Errorf("field %s is new, and its number is not reserved", field)
				}
			}
			written, err := cbor.Marshal(full.Elem().Interface())
			is.NoErr(err)
			read := reflect.New(typeBefore(format, "", before.Fields))
			is.NoErr(cbor.Unmarshal(written, read.Interface()))
			again, err = cbor.Marshal(read.Elem().Interface())
			is.NoErr(err)
			is.Equal(hex.EncodeToString(again), before.Encoded) // the older build reads its fields, and only these
		})
	}
}

// writeWireFormats writes the formats of this build to wireFormatsFile.
func writeWireFormats(t *testing.T) {
	formats := map[string]wireFormat{}
	for name, zero := range wireFormats {
		v := reflect.New(reflect.TypeOf(zero)).Elem()
		fields := fill(v, "", nil)
		data, err := cbor.Marshal(v.Interface())
		if err != nil {
			t.Fatal(err)
		}
		formats[name] = wireFormat{fields, hex.EncodeToString(data)}
	}
	data, err := json.MarshalIndent(formats, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(wireFormatsFile, data, 0o644); err != nil {
		t.Fatal(err)
	}
}
