#!/usr/bin/env bash
# Breaks one rule of the policy at a time in a scratch copy and shows which property of the oracle notices.
# Usage: mutate-policy.sh [RUNS [WORDS]]. With WORDS, only the mutations whose name holds them. Prints a table; fails where a mutation does not apply, or where nothing notices it.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-300}
only=${2:-}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -coz --exclude-standard | xargs -0 cp --parents -t "$scratch"
policy=$scratch/hickoryquay/policy
cmake -G Ninja -S "$scratch" -B "$scratch/build" >/dev/null

# Prints the broken rules with their counts, on one line.
census() {
  cmake --build "$scratch/build" -j 4 --target rule_census >"$scratch/build.log" 2>&1 || { tail -20 "$scratch/build.log" >&2; return 1; }
  # A mutant may stop itself by an assertion or run on for ever: both are noticed.
  timeout 300 "$scratch/build/bin/rule_census" "$runs" 2>/dev/null | paste -sd, | sed 's/,/, /g' || echo "aborted"
}

failed=0
# mutate WHAT FILE PATTERN REPLACEMENT (of sed, on one line)
mutate() {
  local what=$1 file=$policy/$2
  [[ $what == *"$only"* ]] || return 0
  cp "$file" "$scratch/kept"
  sed -i "s~$3~$4~" "$file"
  local caught
  if cmp -s "$file" "$scratch/kept"; then
    caught="DOES NOT APPLY"
    failed=1
  else
    caught=$(census)
    if [ "$caught" = "$unbroken" ]; then
      caught="NOT NOTICED"
      failed=1
    fi
  fi
  cp "$scratch/kept" "$file"
  echo "| $what | $caught |"
}

unbroken=$(census)
echo "| broken rule | sequences of $runs that notice, by property |"
echo "| --- | --- |"
echo "| none | ${unbroken:-none} |"
mutate "a gang starts without its last part" policy_schedule.cc '^  m_decisions.push_back(std::move(start));' '  if (start.m_placements.size() > 1) start.m_placements.pop_back();\n  m_decisions.push_back(std::move(start));'
mutate "adjacency is ignored" policy_events.cc '^  job.m_shape = spec.m_shape;' '  job.m_shape = spec.m_shape;\n  job.m_shape.m_adjacency = Adjacency::kAny;'
mutate "accelerators are given twice: a stop frees them before its answer" policy_events.cc '^  m_cluster.MarkStopping(index);' '  m_cluster.MarkStopping(index);\n  if (reason == StopReason::kReclaim) ReleaseParts(index);'
mutate "leaving workers get new work" cluster.h 'return m_present && !m_leaving && !m_quarantined;' 'return m_present \&\& !m_quarantined;'
mutate "quarantined workers get new work" cluster.h 'return m_present && !m_leaving && !m_quarantined;' 'return m_present \&\& !m_leaving;'
mutate "work that runs once is started again" policy_events.cc 'const bool may_run_again = .*;' 'const bool may_run_again = true;'
mutate "work that runs once may be stopped for others" policy_events.cc 'return job.m_once || !(' 'return !('
mutate "a lost part does not stop the rest of its gang" policy_workers.cc '^ *if (!stopping) Stop(job, StopReason::kPartLost, false);' ''
mutate "a stopped job is not queued again" policy_events.cc '^  job.m_queued = m_now;' '  job.m_queued = m_now;\n  return;'
mutate "a refusal says never run" policy_events.cc 'RefuseJob{job.m_id, job.m_may_have_run,' 'RefuseJob{job.m_id, false,'
mutate "answers to old attempts count" policy_events.cc 'return job.Holds() && job.m_attempt == attempt ? index : kNone;' 'return job.Holds() ? index : kNone;'
mutate "work that can't be stopped takes a guarantee's last place" policy_schedule.cc '^  return m_certificate.MakeRoom(job.m_account, pins);' '  return true;'
mutate "no guarantee can be called on" policy_schedule.cc '^      return AcceleratorsCalledBy(job.m_account) + .*' '      return false;'
mutate "a broken guarantee is not reported" policy_workers.cc '^    m_decisions.push_back(GuaranteeBroken{.*' ''
mutate "every change of a guarantee is accepted" policy_markets.cc '^  if (trial.Missing() == 0 .. trial.Missing() <= missing_before) return Done{};' '  return Done{};'
mutate "an account's limit is ignored" policy_schedule.cc '^  return account.m_max_accelerators == 0 ||.*' '  return true;'
mutate "a job that never fits is accepted" policy_markets.cc '^  const bool known = m_cluster.EverJoinedCapacity() > 0;.*' '  const bool known = false;'
mutate "a rebuild forgets what runs where" policy_events.cc '^  Hold(index, PartsOf(index, place, job.m_shape.m_task));' '  Hold(index, {});'
mutate "work that can only be checkpointed is stopped for good" policy_events.cc '^  Stop(index, reason, checkpoint && .*' '  Stop(index, reason, false);'
exit $failed
