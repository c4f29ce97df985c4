package encoder

import "google.golang.org/protobuf/reflect/protoreflect"

// hasUnknownFields reports whether m or a message in it has a field that this
// version of the program does not know. A decision from the known fields alone could
// then be wrong.
func hasUnknownFields(m protoreflect.Message) bool {
	if len(m.GetUnknown()) > 0 {
		return true
	}
	found := false
	m.Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		found = field.Message() != nil && valueHasUnknownFields(field, v)
		return !found
	})
	return found
}

// valueHasUnknownFields reports the same for the message or the list of messages v of
// field.
func valueHasUnknownFields(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
	if !field.IsList() {
		return hasUnknownFields(v.Message())
	}
	list := v.List()
	for i := range list.Len() {
		if hasUnknownFields(list.Get(i).Message()) {
			return true
		}
	}
	return false
}
