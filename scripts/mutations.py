"""The mutations of scripts/mutate: each removes one safety rule."""

import dataclasses

OWNERSHIP = "packages/ownership/"


@dataclasses.dataclass
class Mutation:
    name: str
    meaning: str
    # (file, old text, new text); the old text occurs once.
    edits: list
    # The test program, and the test case if not all of it.
    target: str = "lease_property_test"
    case: str = "an upstream never has two valid leases"


MUTATIONS = [
    Mutation(
        "claim-wait",
        "a claim becomes active as soon as its claimant has read it",
        [(OWNERSHIP + "leader_lease.cc",
          "active_from_ = read_at + term_.wait;",
          "active_from_ = read_at;")]),
    Mutation(
        "clock-drift-margin",
        "waits have no margin for the maximum clock drift",
        [(OWNERSHIP + "lease_durations.h",
          "(1.0 + max_clock_drift)", "1.0")],
        # 1% of a lease is too short for random runs: none of 15,000 showed it.
        target="leadership_test", case=""),
    Mutation(
        "all-voters",
        "a lease needs only one same-zone and one other-zone voter's promise",
        [(OWNERSHIP + "leader_lease.cc",
          "      oldest.reset();\n      return false;", "      return true;")]),
    Mutation(
        "same-zone-voters-without-hold",
        "promises of same-zone voters extend a lease past the isolation hold",
        [(OWNERSHIP + "leader_lease.cc",
          "std::min(same_zone_end, *last_contact + IsolationHold())",
          "same_zone_end")]),
    Mutation(
        "promise-expiry",
        "a voter claims before its own promise has expired",
        [(OWNERSHIP + "claim_tracker.cc",
          "    earliest = std::max(earliest, *view.own_promise_expiry);",
          "    earliest = read_at->second;"),
         (OWNERSHIP + "leader_lease.cc",
          "active_from_ = std::max(active_from_, *own_promise_expiry);",
          "active_from_ = std::max(active_from_, read_at);")]),
    Mutation(
        "other-zone-isolation-hold",
        "a claim from another zone does not wait for the isolation hold",
        [(OWNERSHIP + "claim_tracker.cc",
          "lease = std::max(lease, replaced.isolation_hold);", "")]),
    Mutation(
        "inherited-wait",
        "a claim that replaces an inactive term does not inherit its wait",
        [(OWNERSHIP + "claim_tracker.cc",
          "  if (!replaced.active)\n    wait = std::max(wait, replaced.wait);",
          "")]),
    Mutation(
        "unresolved-claim",
        "a voter promises while its claim is unresolved",
        [(OWNERSHIP + "voter_promises.cc",
          "if (view.claim_unresolved)", "if (false)")]),
    Mutation(
        "replaced-term",
        "a voter promises a term although it has read a newer one",
        [(OWNERSHIP + "voter_promises.cc",
          "  return requested.term != kNoOffset && "
          "view.current->term < requested.term;",
          "  return true;")]),
    Mutation(
        "voters-only",
        "an instance that is not a voter may claim",
        [(OWNERSHIP + "claim_tracker.cc",
          "if (!IsVoter(current) || read_at", "if (read_at"),
         (OWNERSHIP + "lease_model_table_test.cc",
          "term.kind == TermKind::kClaim &&", "false &&")]),
    Mutation(
        "revise-old-voters",
        "while a revision is unresolved, only the new voters must promise",
        [(OWNERSHIP + "leader_lease.cc",
          "  for (const Voter& voter : term_.voters) {\n    if (!visit(voter))",
          "  for (const Voter& voter : term_.voters) {\n"
          "    if (!pending_revision_ && !visit(voter))"),
         (OWNERSHIP + "leader_lease.cc",
          "if (!IsCurrentVoter(voter) && !visit(voter))",
          "if (!visit(voter))")]),
    Mutation(
        "revise-new-voters",
        "while a revision is unresolved, only the old voters must promise",
        [(OWNERSHIP + "leader_lease.cc",
          "  if (!pending_revision_)\n    return;\n", "  return;\n")]),
    Mutation(
        "revise-smaller-hold",
        "while a revision is unresolved, the old isolation hold applies",
        [(OWNERSHIP + "leader_lease.cc",
          "  return std::min(term_.isolation_hold, "
          "pending_revision_->isolation_hold);",
          "  return term_.isolation_hold;")]),
    Mutation(
        "lease-from-after-read",
        "a lease starts at the response of a log read, not at its request",
        [(OWNERSHIP + "lease_model_test.cc",
          "lease.OnLogRead(requested_at, true,",
          "lease.OnLogRead(Clock(reader), true,")]),
    Mutation(
        "lease-from-after-promise",
        "a lease starts at the response of a voter, not at the request",
        [(OWNERSHIP + "lease_model_instance_test.cc",
          "led->second.OnPromise(name, requested_at, granted);",
          "led->second.OnPromise(name, Clock(requester), granted);")]),
    Mutation(
        "incomplete-read",
        "a read that did not reach the end of the log extends the lease",
        [(OWNERSHIP + "lease_model_test.cc",
          "        if (end < size)\n          return;\n", "")]),
    Mutation(
        "handover-without-stopping",
        "a leader keeps its lease while its handover may still take effect",
        [(OWNERSHIP + "leader_lease.cc",
          "if (ended_ || handing_over_)", "if (ended_)")]),
    Mutation(
        "abandoned-claim",
        "a claim takes effect after its abandon record",
        [(OWNERSHIP + "lease_model_table_test.cc",
          "|| abandoned_.contains(record.id)", "")]),
    Mutation(
        "return-to-unresponsive-zone",
        "a term is returned to a zone without recent messages",
        [(OWNERSHIP + "term_handover.cc",
          "cause == Cause::kReturn && !context_.HasRecentMessageFromZone(term->zone)",
          "false")],
        target="golden_test",
        case="scenario: zone partition longer than the isolation hold"),
    Mutation(
        "unresponsive-exclusion",
        "an unresponsive voter may be selected again immediately",
        [(OWNERSHIP + "lease_manager.cc",
          "excluded_until_[voter] = now + kUnresponsiveExclusion;",
          "excluded_until_[voter] = now + std::chrono::milliseconds(1);")],
        target="golden_test",
        case="scenario: zone partition longer than the isolation hold"),
    Mutation(
        "claim-wait-in-replay",
        "replay accepts a claim whose wait is too short",
        [(OWNERSHIP + "term_rules.cc",
          "  if (entry.wait < RequiredWait(", "  if (false && entry.wait < RequiredWait(")],
        target="ownership_test", case=""),
    Mutation(
        "reclaim-after-active",
        "a term is reclaimed although its new leader may be active",
        [(OWNERSHIP + "term_rules.cc",
          "return !current.active && current.replaced_leader == claimant &&",
          "return current.replaced_leader == claimant &&")],
        target="ownership_test",
        case="a disconnected zone reclaims a term that is not active yet"),
    Mutation(
        "move-precondition",
        "a move applies to a shard that another record has placed",
        [(OWNERSHIP + "ownership_table.cc",
          "shard.upstream != body.upstream ||\n        "
          "shard.placed_offset != move.placed_offset",
          "shard.upstream != body.upstream")],
        target="ownership_test", case="shards are placed once and moved by their leader only"),
    Mutation(
        "request-epoch",
        "a leader sends a request that was routed under another epoch",
        [("packages/upstreams/upstream_leader.cc",
          "epoch == kNoOffset || epoch != request.epoch ||",
          "epoch == kNoOffset ||")],
        target="upstreams_test", case=""),
    Mutation(
        "request-id-epoch",
        "a request id that another leader issued is accepted",
        [("packages/routing/request_records.cc",
          "id.epoch != epoch || IsExpired(id.issued_at)",
          "IsExpired(id.issued_at)")],
        target="routing_test", case=""),
    Mutation(
        "request-id-lifetime",
        "a request id is accepted after its record was removed",
        [("packages/routing/request_records.cc",
          "id.epoch != epoch || IsExpired(id.issued_at)",
          "id.epoch != epoch")],
        target="routing_test", case=""),
]
