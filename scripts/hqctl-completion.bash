# Completion of hqctl for bash: source scripts/hqctl-completion.bash
_hqctl() {
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
  case $previous in
    --token-file | -t | --script | -s | --ca) mapfile -t COMPREPLY < <(compgen -f -- "$word"); return ;;
    --format | -f) mapfile -t COMPREPLY < <(compgen -W "table json" -- "$word"); return ;;
    show) mapfile -t COMPREPLY < <(compgen -W "jobs requests workers backends racks markets accounts guarantees classes
      instances versions changes" -- "$word"); return ;;
    create | change | drop | if) mapfile -t COMPREPLY < <(compgen -W "market account guarantee class" -- "$word"); return ;;
    drain | release) mapfile -t COMPREPLY < <(compgen -W "worker instance" -- "$word"); return ;;
    quarantine | not) mapfile -t COMPREPLY < <(compgen -W "worker" -- "$word"); return ;;
    why) mapfile -t COMPREPLY < <(compgen -W "job account not" -- "$word"); return ;;
  esac
  case $word in
    -*) mapfile -t COMPREPLY < <(compgen -W "--at --token-file --script --format --watch --rounds --timeout --tls --ca
      --help" -- "$word") ;;
    *) mapfile -t COMPREPLY < <(compgen -W "top dump metrics show why what create change drop expect drain quarantine
      release cancel retry begin where order by limit and or" -- "$word") ;;
  esac
}
complete -F _hqctl hqctl
