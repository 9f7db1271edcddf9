package cmd

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// cmdCompletion is `skylarklane completion bash`.
type cmdCompletion struct {
	Shell string `arg:"" help:"bash, zsh or fish." enum:"bash,zsh,fish"`
}

// Run prints the completion script, to be sourced in the shell's startup file.
func (c *cmdCompletion) Run(e *env, parser *kong.Kong) error {
	var script strings.Builder
	switch c.Shell {
	case "fish":
		fishCompletion(&script, parser.Model.Node)
	case "zsh":
		script.WriteString("autoload -U +X bashcompinit && bashcompinit\n")
		bashCompletion(&script, parser.Model.Node)
	default:
		bashCompletion(&script, parser.Model.Node)
	}
	_, err := fmt.Fprint(e.out, script.String())
	return err
}

func bashCompletion(w *strings.Builder, root *kong.Node) {
	w.WriteString("_skylarklane() {\n\tlocal words\n\tcase \"${COMP_WORDS[1]}\" in\n")
	for _, command := range root.Children {
		fmt.Fprintf(w, "\t%s) words=\"%s\" ;;\n", command.Name, strings.Join(completionWords(command), " "))
	}
	fmt.Fprintf(w, "\t*) words=\"%s\" ;;\n\tesac\n", strings.Join(completionWords(root), " "))
	w.WriteString("\tCOMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n")
	w.WriteString("complete -o default -F _skylarklane skylarklane\n")
}

func fishCompletion(w *strings.Builder, root *kong.Node) {
	for _, command := range root.Children {
		fmt.Fprintf(w, "complete -c skylarklane -n __fish_use_subcommand -a %s -d %q\n", command.Name, command.Help)
		for _, flag := range command.Flags {
			fmt.Fprintf(w, "complete -c skylarklane -n '__fish_seen_subcommand_from %s' -l %s -d %q\n", command.Name, flag.Name, flag.Help)
		}
	}
}

// completionWords returns the subcommands and flags of node.
func completionWords(node *kong.Node) []string {
	var words []string
	for _, child := range node.Children {
		words = append(words, child.Name)
	}
	for _, flag := range node.Flags {
		words = append(words, "--"+flag.Name)
	}
	return words
}
