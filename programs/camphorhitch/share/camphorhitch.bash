# Completion of camphorhitch for bash: source it, or install it as
# /usr/share/bash-completion/completions/camphorhitch. It makes no call to a daemon.

_camphorhitch() {
  local word=$2 previous=$3 words=""
  case $previous in
    -f | --file | --apply | --settings | --token-file)
      mapfile -t COMPREPLY < <(compgen -f -- "$word")
      return
      ;;
    -s | --server)
      mapfile -t COMPREPLY < <(compgen -W "${CAMPHORHITCH_SERVERS//,/ }" -- "$word")
      return
      ;;
    --wait-seconds | --watch | --timeout-ms | --command-id)
      return
      ;;
    show) words="hosts pools waves jobs members config experiments policies teams" ;;
    why) words="host job request wave pool" ;;
    set) words="pool policy team config" ;;
    drain) words="host zone rack pool" ;;
    move) words="host" ;;
    submit) words="job" ;;
    start) words="wave experiment" ;;
    stop) words="experiment" ;;
    cancel) words="wave job jobs" ;;
    resume) words="wave" ;;
    *) words="show why set drain move start stop cancel resume submit" ;;
  esac
  if [[ $word == -* ]]; then
    words="--server --settings --token-file --timeout-ms --file --apply --command-id --json
      --wait --wait-seconds --watch --help --version"
  fi
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
}

complete -F _camphorhitch camphorhitch
