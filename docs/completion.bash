# Completes commands, options and files of the tamarackshunt programs in bash:
#
#   source docs/completion.bash
#
# The programs compute the completions themselves (go-flags, GO_FLAGS_COMPLETION); they must be on the PATH or be called
# by a path.

_tamarack_complete() {
  local line
  COMPREPLY=()
  while IFS= read -r line; do
    COMPREPLY+=("$line")
  done < <(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:COMP_CWORD}" 2>/dev/null)
}

complete -o filenames -F _tamarack_complete tamarack tamarack-host tamarack-load
