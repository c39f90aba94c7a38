package hickoryyaml

import (
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// findNode returns the node at a path of keys and indexes. For a path that does not
// exist, it returns the last node on it that does.
func findNode(root *yaml.Node, path []string) *yaml.Node {
	node, _ := findNodeAndLine(root, path)
	return node
}

// findNodeAndLine returns the same node as findNode, and the line of the last key or item
// on the path.
func findNodeAndLine(root *yaml.Node, path []string) (*yaml.Node, int) {
	node := root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := node.Line
	for _, step := range path {
		next, nextLine := child(node, step)
		if next == nil {
			break
		}
		node, line = next, nextLine
	}
	return node, line
}

// child returns the value of a key in a mapping, or the item at an index of a list, and
// the line of the key or item. It returns nil if there is none.
func child(node *yaml.Node, step string) (*yaml.Node, int) {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	switch node.Kind {
	case yaml.MappingNode:
		if key, value := findKey(node, step); value != nil {
			return value, key.Line
		}
	case yaml.SequenceNode:
		index, err := strconv.Atoi(step)
		if err == nil && index >= 0 && index < len(node.Content) {
			return node.Content[index], node.Content[index].Line
		}
	default:
	}
	return nil, 0
}

// findKey returns the nodes of a key and its value, or nil if node is not a mapping or
// does not contain the key.
func findKey(node *yaml.Node, key string) (*yaml.Node, *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		return nil, nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i], node.Content[i+1]
		}
	}
	return nil, nil
}

// joinPath formats a path of keys and indexes as in services[0].zone.
func joinPath(steps []string) string {
	var text strings.Builder
	for _, step := range steps {
		if _, err := strconv.Atoi(step); err == nil {
			text.WriteString("[" + step + "]")
			continue
		}
		if text.Len() > 0 {
			text.WriteString(".")
		}
		text.WriteString(step)
	}
	return text.String()
}

// splitPath returns the keys and indexes of a formatted path.
func splitPath(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool {
		return r == '.' || r == '[' || r == ']'
	})
}
