package hickorymessage

// DropReasons returns all drop reasons, in the order of the schema.
func DropReasons() []DropReason {
	reasons := make([]DropReason, 0, len(enumValues_DropReason))
	for _, value := range enumValues_DropReason {
		if text, ok := value.(string); ok {
			reasons = append(reasons, DropReason(text))
		}
	}
	return reasons
}
