package hickoryyaml

import "gopkg.in/yaml.v3"

// Line returns the line of the key or item at a path such as services[1].name. For a
// path that the text does not contain, it returns the line of the nearest key or item
// above it. It returns 0 for a text that is empty or not YAML.
func Line(content []byte, path string) int {
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil || len(root.Content) == 0 {
		return 0
	}
	_, line := findNodeAndLine(&root, splitPath(path))
	return line
}
